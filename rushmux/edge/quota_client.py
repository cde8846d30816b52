"""Requests the edge's quotas, its shares of folders' limits, from the planner and applies them."""

import asyncio

from rushmux.edge.driver import EdgeDriver
from rushmux.edge.planner_client import PlannerClient, next_request_pause
from rushmux.fleet.quotas import EdgeQuotas, QuotaGrant
from rushmux.nodewire import messages

MIN_INTERVAL = 0.1  # seconds; the shortest interval that demand is averaged over
MAX_FOLDERS = 10_000  # folders in one request


class QuotaClient:
    """Keeps the quotas of all folders whose plans have limits up to date in the driver."""

    def __init__(self, driver: EdgeDriver, planner_client: PlannerClient, log):
        self.driver, self.planner_client, self.log = driver, planner_client, log
        self.quotas = EdgeQuotas(driver.name, driver.deployment.settings.gateway_count)
        self.limits = driver.deployment.limits()
        self.demand = dict.fromkeys(self.limits, 0.0)  # units since the last request
        self.last_request_at = driver.loop.time()
        self.lease_timer: asyncio.TimerHandle | None = None
        self.shares: dict[str, float] = {}  # folder -> share set in the driver
        planner_client.on_quota_grant = self._on_grant_message
        driver.on_demand = self._on_demand
        self._apply()  # the safe quotas, until a grant arrives

    def _on_demand(self, folder: str, units: float) -> None:
        """Counts an operation's units, whether or not it succeeds."""
        if folder in self.demand:
            self.demand[folder] += units

    async def run(self) -> None:
        """Requests quotas until cancelled."""
        loop = self.driver.loop
        while True:
            await asyncio.sleep(next_request_pause(self.driver.rng))
            now = loop.time()
            elapsed, self.last_request_at = max(MIN_INTERVAL, now - self.last_request_at), now
            request = self.quotas.request(now)
            wants = [
                messages.Want(folder=folder, part=units / elapsed / self.limits[folder])
                for folder, units in list(self.demand.items())[:MAX_FOLDERS]
            ]
            self.demand = dict.fromkeys(self.demand, 0.0)
            applied = request.applied
            ask = messages.Ask(
                ask=request.request_id, term=applied.term, number=applied.sequence, wants=wants
            )
            self.planner_client.send(ask=ask)
            self._apply()

    def _on_grant_message(self, message: messages.Grant) -> None:
        loop = self.driver.loop
        shares = {
            want.folder: want.part
            for want in message.parts
            if want.folder in self.limits and 0 <= want.part <= 1
        }
        grant = QuotaGrant(self.driver.name, message.term, message.number, message.ask, shares)
        if not self.quotas.on_grant(loop.time(), grant):
            return
        self._apply()
        # The expiry must be handled without any other event.
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = loop.call_at(self.quotas.lease_expiry, self._apply)

    def _apply(self) -> None:
        """Sets the quotas that are effective now in the driver."""
        now = self.driver.loop.time()
        for folder in self.limits:
            share = self.quotas.quota(now, folder)
            if self.shares.get(folder) != share:
                self.shares[folder] = share
                self.driver.set_quota_share(folder, share)
