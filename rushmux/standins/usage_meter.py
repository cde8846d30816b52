"""Units that a stand-in node served for each folder, as reported to the edges."""

from collections import OrderedDict

MAX_FOLDERS = 100_000
"""Limit of folders counted in a period, and of remembered pairs of folder and edge."""


class UsageMeter:
    """Counts units served for each folder, in total and since each edge's last reply."""

    def __init__(self) -> None:
        self._total: dict[str, float] = {}
        self._reported: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._period: dict[str, float] = {}

    def add(self, folder: str, edge: str, units: float) -> float:
        """Counts a served attempt; returns the units served to other edges since this edge's last reply."""
        total = self._total[folder] = self._total.get(folder, 0.0) + units
        before = self._reported.pop((folder, edge), 0.0)
        self._reported[folder, edge] = total
        if len(self._reported) > MAX_FOLDERS:
            self._reported.popitem(last=False)
        if folder in self._period or len(self._period) < MAX_FOLDERS:
            self._period[folder] = self._period.get(folder, 0.0) + units
        return max(0.0, total - units - before)

    def take_period(self) -> dict[str, float]:
        """Returns the units by folder since the last call."""
        period, self._period = self._period, {}
        return period
