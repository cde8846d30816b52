"""The notation of troubles: lines with ranges, drawn to events by a seed.

    KIND TARGET [size A..B] at A..B [for A..B]

One number stands for a range of one.  TARGET: `node` (one drawn), `nodes N%` or `nodes N` (so many
drawn), `zone` (all nodes of one drawn), `edge`, `edges N`, `lists`, `volume`, `plan NAME`, `all`.
`#` begins a comment.
"""

import random
from typing import NamedTuple

MOST_LINES = 200
# kind -> the targets it may have, and whether it has a size and a length
KINDS = {
    "silent": (("node", "nodes", "zone"), False, True),
    "slow": (("node", "nodes", "zone"), True, True),  # times longer
    "errors": (("node", "nodes", "zone"), True, True),  # part of the executions
    "lost": (("node", "nodes", "zone"), True, True),  # part of the messages
    "resets": (("node", "nodes", "zone"), False, False),
    "neighbour": (("node", "nodes", "zone"), True, True),  # times longer, in and out every second
    "restart": (("node", "nodes", "zone"), False, True),  # down for so long, then cold
    "drain": (("node", "nodes", "zone"), True, False),  # one after the other, so many seconds apart
    "cut": (("zone", "edge", "edges"), False, True),  # no connection to the others
    "lag": (("lists",), True, True),  # seconds that changes come late
    "reports": (("node", "nodes", "zone"), False, True),  # answers say nothing of others' use
    "die": (("edge", "edges"), False, True),  # gone for so long, comes back with nothing
    "still": (("edge", "edges"), False, True),  # stands still
    "hurried": (("volume", "plan", "all"), True, True),  # hard stops as a part of what they are
    "surge": (("volume", "plan", "all"), True, True),  # times the rate
    "hot": (("volume", "plan", "all"), True, True),  # part of the accesses that go to one key
    "scan": (("volume", "plan", "all"), True, True),  # times the size
}


class BadTrouble(Exception):
    """A line that is none; the text names it."""


class Line(NamedTuple):
    """One line: ranges as (least, most)."""

    kind: str
    target: str
    which: str  # number, part or plan, "" where none is stated
    size: tuple[float, float]
    at: tuple[float, float]
    seconds: tuple[float, float]

    def text(self):
        """The line in the notation."""

        def stretch(pair):
            return f"{pair[0]:g}" if pair[0] == pair[1] else f"{pair[0]:g}..{pair[1]:g}"

        words = [self.kind, self.target, *([self.which] if self.which else [])]
        if KINDS[self.kind][1]:
            words += ["size", stretch(self.size)]
        words += ["at", stretch(self.at)]
        if KINDS[self.kind][2]:
            words += ["for", stretch(self.seconds)]
        return " ".join(words)


class Event(NamedTuple):
    """What is drawn of a line: names of nodes or volumes, numbers of edges."""

    at: float
    kind: str
    targets: tuple
    size: float
    seconds: float


def _range(word):
    least, _, most = word.partition("..")
    pair = float(least), float(most or least)
    if not 0 <= pair[0] <= pair[1] < 1e6:
        raise ValueError(f"'{word}' is no range")
    return pair


def parse(lines, source="troubles") -> list[Line]:
    """Lines of the notation; BadTrouble with the line and what is wrong in it."""
    found = []
    if len(lines) > MOST_LINES:
        raise BadTrouble(f"{source}: {len(lines)} lines, at most {MOST_LINES}")
    for number, text in enumerate(lines, 1):
        words = text.split("#")[0].split()
        if not words:
            continue
        where = f"{source}, line {number}: {text.strip()}"
        try:
            kind, target, rest = words[0], words[1], words[2:]
            if kind not in KINDS:
                raise BadTrouble(f"{where}: there is no kind '{kind}'; there are {', '.join(KINDS)}")
            targets, sized, lasts = KINDS[kind]
            if target not in targets:
                raise BadTrouble(f"{where}: '{kind}' is for {', '.join(targets)}")
            which = ""
            if target in ("nodes", "edges", "plan"):
                which, rest = rest[0], rest[1:]
                if target != "plan":
                    float(which.rstrip("%"))
            fields = dict(zip(rest[::2], rest[1::2]))
            wanted = {"at", *(["size"] if sized else []), *(["for"] if lasts else [])}
            if len(rest) % 2 or set(fields) != wanted:
                raise BadTrouble(f"{where}: '{kind}' needs {', '.join(sorted(wanted))}, each once")
            found.append(
                Line(
                    kind,
                    target,
                    which,
                    _range(fields.get("size", "0")),
                    _range(fields["at"]),
                    _range(fields.get("for", "0")),
                )
            )
        except (IndexError, ValueError) as fault:
            raise BadTrouble(f"{where}: {fault}") from fault
    return found


def _chosen(line, chance, nodes, edges, volumes):
    """The names that a line's target comes to.  `nodes`: name -> zone; `volumes`: name -> plan."""
    if line.target == "lists":
        return ("lists",)
    if line.target == "all":
        return tuple(volumes)
    if line.target == "plan":
        return tuple(name for name, plan in volumes.items() if plan == line.which)
    if line.target == "zone":
        zone = chance.choice(sorted(set(nodes.values())))
        return tuple(name for name in nodes if nodes[name] == zone)
    pool = {
        "node": list(nodes),
        "nodes": list(nodes),
        "edge": list(edges),
        "edges": list(edges),
        "volume": list(volumes),
    }[line.target]
    count = 1
    if line.which:
        number = float(line.which.rstrip("%"))
        count = round(number / 100 * len(pool)) if line.which.endswith("%") else int(number)
    return tuple(chance.sample(pool, max(1, min(len(pool), count))))


def draw(lines: list[Line], seed, nodes: dict, edges, volumes: dict) -> list[Event]:
    """Events in the order of time.  Each line has a generator of its own: taking one away leaves the "
    "others.
    """
    events = []
    for line in lines:
        chance = random.Random(f"{seed}/{line.text()}")
        at, size, seconds = (chance.uniform(*pair) for pair in (line.at, line.size, line.seconds))
        targets = _chosen(line, chance, nodes, edges, volumes)
        if line.kind == "drain":
            events += [
                Event(at + place * size, "drain", (name,), 0.0, 0.0) for place, name in enumerate(targets)
            ]
        else:
            events.append(Event(at, line.kind, targets, size, seconds))
    return sorted(events, key=lambda event: event.at)
