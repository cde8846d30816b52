"""Decides when nodes learn the fencing floor: the oldest policy version that a member may still apply."""

from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.settings.deployment import Deployment

GRACE_PERIOD = 1.0  # seconds beyond the longest deadline, for network delay and late timers
FIRST_VERSION = 1  # of a policy; nodes have no older ones to reject


class PolicyFloor:
    """Delays a new floor until no operation under an older policy can still be running.

    An operation that a member admitted under one policy also ends under it.  Nodes are therefore told of a
    floor only when the longest deadline has passed since this planner learned of it.
    """

    def __init__(self, deployment: Deployment):
        self._classes = deployment.settings.request_classes
        self._floor = 0
        self._since = 0.0

    def floor_to_send(self, floor: int, now: float) -> int | None:
        """Returns the floor to send to nodes, or None if there is none yet.

        Args:
            floor: The floor in the replicated state.
            now: Seconds of the event loop's clock.
        """
        if floor <= FIRST_VERSION:
            return None
        if floor != self._floor:
            self._floor, self._since = floor, now
        longest = max(request_class.deadline for request_class in self._classes.values()) / TICKS_PER_SECOND
        return floor if now - self._since > longest + GRACE_PERIOD else None
