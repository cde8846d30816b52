"""When storage nodes are told of the fencing floor: the oldest policy that a member may still go by."""

from rushmux.scheduling.driver import TICKS_PER_SECOND
from rushmux.settings.deployment import Deployment

GRACE = 1.0  # seconds beyond the longest deadline: time on the way, and a late timer
FIRST_POLICY = 1  # no node has anything older to reject


class PolicyFloor:
    """Delays a new floor until no operation under an older policy can still be running.

    What a member admitted before it went on to the next policy ends under the old one.  So nodes are told
    of a floor only once the longest deadline is over since this planner saw it.
    """

    def __init__(self, deployment: Deployment):
        self._classes = deployment.settings.request_classes
        self._floor = 0
        self._since = 0.0

    def announced(self, floor: int, now: float) -> int | None:
        """The floor that a node is to be told now; None: none yet.

        Args:
            floor: the floor as the replicated state has it.
            now: seconds of the loop's clock.
        """
        if floor <= FIRST_POLICY:
            return None
        if floor != self._floor:
            self._floor, self._since = floor, now
        longest = max(request_class.deadline for request_class in self._classes.values()) / TICKS_PER_SECOND
        return floor if now - self._since > longest + GRACE else None
