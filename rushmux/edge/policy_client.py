"""An edge's side of the fleet's policy: what it goes by, kept on its disk, asked for again and again.

`fleet.policy.PolicyMember` decides what holds; this asks the planner that leads, keeps, and hands limits and
routes to the driver.  The file: magic, format, checksum and both policies as JSON, replaced whole and
synced.
"""

import asyncio
import json
import zlib
from pathlib import Path

from rushmux import atomic_write
from rushmux.edge.driver import PolicyVersion
from rushmux.fleet import policy
from rushmux.nodewire import WireFault, messages
from rushmux.routes.reload import MOST_NAMED
from rushmux.settings import policy as documents
from rushmux.settings.deployment import BadDeployment, Deployment

EVERY = 0.5  # seconds between two asks: a change reaches all within two of them
APART = 0.5  # of that, drawn: hundreds of edges ask apart from each other
NO_ANSWER = 2.0  # seconds without a grant until another planner is looked for
MAGIC, FORMAT = "rushmux policy", 1
MOST = 1 << 20  # bytes of a file: two policies with room


class BadKept(Exception):
    """A kept policy that cannot be used; the text names the file and why."""


class Newer(BadKept):
    """It was written by another program; this one must not start on it, nor write over it."""


def granted(told: messages.PolicyGrant, known: dict[int, policy.Policy]) -> policy.LeaseGrant:
    """The grant of a message; WireFault where a policy in it is not whole, or is none that is `known`."""

    def whole(row):
        rows = tuple(policy.FolderLimit(limit.folder, limit.limit, limit.burst) for limit in row.rows)
        made = policy.Policy(row.number, row.text, rows) if row.text else known.get(row.number)
        if made is None or made.checksum != row.sum:
            raise WireFault(f"policy {row.number} has a wrong checksum")
        return made

    return policy.LeaseGrant(
        told.member,
        told.ask,
        told.term,
        told.index,
        whole(told.force),
        whole(told.staged) if told.HasField("staged") else None,
    )


def lease_request(request: policy.LeaseRequest) -> messages.PolicyAsk:
    """The message of a member's request."""
    return messages.PolicyAsk(
        member=request.member,
        ask=request.request_id,
        force=request.active_version,
        joint=request.joint_version,
        refused=request.rejected_version,
        against=request.rejection_reason,
    )


class Kept:
    """The file; `load` gives (in force, staged), each None where there is none."""

    def __init__(self, path):
        self.path = Path(path)

    def load(self):
        """BadKept where it is damaged or of another format: what it promised is not known any more."""
        try:
            with open(self.path, "rb") as source:
                data = source.read(MOST + 1)
        except FileNotFoundError:
            return None, None
        except OSError as fault:
            raise BadKept(f"{self.path}: cannot be read: {fault.strerror}") from fault
        try:
            magic, form, mark, body = json.loads(data)
            if magic != MAGIC or form != FORMAT:
                raise Newer(
                    f"{self.path}: format {form}, this edge reads {FORMAT}: start the program that wrote it"
                )
            if zlib.crc32(body.encode()) != mark:
                raise ValueError("its checksum is wrong")
            return tuple(map(policy.policy_from_json, json.loads(body)))
        except (ValueError, TypeError, IndexError) as fault:
            raise BadKept(f"{self.path}: damaged: {fault}") from fault

    def keep(self, force, staged):
        """Writes both, synced; OSError where the disk does not take them."""
        body = json.dumps([policy.policy_to_json(force), policy.policy_to_json(staged)])
        atomic_write.whole(self.path, json.dumps([MAGIC, FORMAT, zlib.crc32(body.encode()), body]).encode())


def begun(own: Deployment, kept: Kept, log) -> tuple[Deployment, tuple]:
    """The deployment that an edge starts on: its file's, under the policy that its disk holds; and what it
    holds. A damaged one is as none: the edge serves nothing until a planner told it.  `Newer` is for the
    caller.
    """
    try:
        force, staged = kept.load()
        found = own if force is None else documents.merged(own, force.text, f"policy {force.version}")
        return found, (force, staged)
    except Newer:
        raise
    except (BadKept, BadDeployment) as fault:
        log.error("policy.unread", why=str(fault))
        return own, (None, None)


class Going:
    """Goes by the policy.  `own`: the deployment of the edge's own file; `kept`: its disk, and what that
    held.
    """

    def __init__(self, edge, own: Deployment, kept: Kept, held, log):
        self.edge, self.driver, self.own, self.log = edge, edge.driver, own, log
        self.loop, self.lists, self.lapse = self.driver.loop, edge.planner_client, None
        self.holder = policy.PolicyMember(edge.name, *held, self.prove, kept.keep)
        self.base = {folder: (limit, burst) for folder, limit, burst in documents.rows(edge.deployment)}
        self.heard_at, self.said, self.scales = self.loop.time(), None, {}
        self.lists.on_policy_grant = self.granted
        self.driver.may_serve, self.driver.on_fenced = self.serving, self.fenced
        self.apply()

    def prove(self, proposed):
        """Why this edge cannot go by a policy, None: it can."""
        try:
            found = documents.merged(self.own, proposed.text, f"policy {proposed.version}")
        except BadDeployment as fault:
            return "; ".join(f"{place}: {text}" for place, text in fault.faults[:MOST_NAMED])
        return "; ".join(documents.against(self.edge.deployment, found)) or None

    async def run(self):
        """Until cancelled."""
        while True:
            await asyncio.sleep(EVERY * (1 - APART * self.driver.rng.random()))
            now = self.loop.time()
            if now - self.heard_at > NO_ANSWER:
                self.heard_at = now
                self.lists.try_next_planner()
            self.lists.send(policy_ask=lease_request(self.holder.lease_request(now)))
            self.apply()

    def granted(self, told: messages.PolicyGrant):
        """A grant came.  One that cannot be believed is logged and left."""
        holder = self.holder
        known = {made.version: made for made in (holder.active, holder.staged) if made is not None}
        try:
            grant = granted(told, known)
        except WireFault as fault:
            self.log.error("policy.refused", why=str(fault))
            return
        before, refused = holder.active_version, holder.rejected
        if holder.on_grant(self.loop.time(), grant):
            self.heard_at = self.loop.time()
            if self.lapse is not None:
                self.lapse.cancel()
            # Danger: the lease ends while nothing else happens here.
            self.lapse = self.loop.call_at(holder.lease_expiry, self.apply)
        if holder.rejected != refused:
            self.log.error("policy.cannot", number=holder.rejected.version, why=holder.rejected.reason)
        if holder.active_version != before:
            self.taken_over()
        self.apply()

    def taken_over(self):
        """Another number is in force: what is taken from now on goes by it, what was taken keeps its own."""
        force = self.holder.active
        self.edge.take_over(documents.merged(self.own, force.text, f"policy {force.version}"))

    def serving(self) -> bool:
        """Whether an operation may be taken at this instant.  Danger: an edge that stood still wakes with
        its lease over, and its sockets are read before its timers run.
        """
        self.apply()
        return self.holder.is_serving()

    def fenced(self, floor):
        """A node turned an execution away: this edge's number is older than any that is gone by."""
        if floor > self.holder.fenced_below:
            self.holder.on_fenced(floor)
            self.log.error("policy.fenced", number=self.holder.active_version, floor=floor)
            self.apply()

    def apply(self):
        """Has the driver go by what holds at this moment, and says what is given up."""
        now, holder = self.loop.time(), self.holder
        state = (
            holder.active_version,
            holder.staged and holder.staged.version,
            holder.is_degraded(now),
            holder.is_serving(),
        )
        if state == self.said:
            return
        self.said, limits = state, holder.effective_limits(now)
        self.driver.policy_version = PolicyVersion(holder.active_version, holder.newest_version)
        # The module was built on some limits; others are parts of them, the smaller of limit and burst.
        scales = {
            folder: min(own / base for own, base in zip(limits[folder], both))
            for folder, both in self.base.items()
            if folder in limits and all(both)
        }
        self.driver.set_limit_scales(
            {folder: part for folder, part in scales.items() if self.scales.get(folder, 1.0) != part}
        )
        self.scales = scales
        gives_up = [
            f"{folder}: {limits[folder][0]:g} of {own[0]:g} units/s"
            for folder, own in (holder.active.limits().items() if holder.active else ())
            if folder in limits and limits[folder][0] < own[0]
        ]
        self.log.info(
            "policy.goes_by",
            number=state[0],
            staged=state[1] or 0,
            narrow=state[2],
            serves=state[3],
            less=gives_up[:MOST_NAMED],
        )
        self.edge.on_policy_state(state)
