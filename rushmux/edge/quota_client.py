"""An edge's parts of limits: it tells the planner what it could use, and goes by what it is granted."""

import asyncio

from rushmux.fleet.quotas import EdgeQuotas, QuotaGrant
from rushmux.nodewire import messages

EVERY = 0.5  # seconds between two asks: what is lowered here is free there two asks later
APART = 0.5  # of that, drawn: hundreds of edges ask apart from each other
MOST_WANTS = 10_000  # folders asked for at once


class Asking:
    """Asks for the folders whose plans have limits, and tells the driver what holds."""

    def __init__(self, driver, lists, log):
        self.driver, self.lists, self.log = driver, lists, log
        self.believed = EdgeQuotas(driver.name, driver.deployment.settings.gateway_count)
        self.limits, self.lapse = driver.deployment.limits(), None
        self.wanted, self.since, self.parts = dict.fromkeys(self.limits, 0.0), driver.loop.time(), {}
        lists.on_quota_grant = self.granted
        driver.on_demand = self.taking
        self.apply()  # nothing above the safe parts before anything was granted

    def taking(self, folder, units):
        """An operation came, whatever becomes of it."""
        if folder in self.wanted:
            self.wanted[folder] += units

    async def run(self):
        """Until cancelled."""
        loop = self.driver.loop
        while True:
            await asyncio.sleep(EVERY * (1 - APART * self.driver.rng.random()))
            now = loop.time()
            span, self.since = max(0.1, now - self.since), now
            ask, (term, number) = self.believed.request(now)
            wants = [
                messages.Want(folder=folder, part=units / span / self.limits[folder])
                for folder, units in list(self.wanted.items())[:MOST_WANTS]
            ]
            self.wanted = dict.fromkeys(self.wanted, 0.0)
            self.lists.send(ask=messages.Ask(ask=ask, term=term, number=number, wants=wants))
            self.apply()

    def granted(self, grant: messages.Grant):
        loop = self.driver.loop
        parts = {
            want.folder: want.part
            for want in grant.parts
            if want.folder in self.limits and 0 <= want.part <= 1
        }
        if self.believed.on_grant(
            loop.time(), QuotaGrant(self.driver.name, grant.term, grant.number, grant.ask, parts)
        ):
            self.apply()
            # Danger: the lease ends while nothing else happens here.
            if self.lapse is not None:
                self.lapse.cancel()
            self.lapse = loop.call_at(self.believed.lease_expiry, self.apply)

    def apply(self):
        """Has the module go by what holds at this moment."""
        now = self.driver.loop.time()
        for folder in self.limits:
            part = self.believed.quota(now, folder)
            if self.parts.get(folder) != part:
                self.parts[folder] = part
                self.driver.set_quota_share(folder, part)
