"""The choices that a schedule makes: enumerated in order, or drawn."""

import random
from collections.abc import Sequence
from typing import Optional, Protocol, TypeVar

WORST_PROBABILITY = 0.7  # of the first option when drawn: delays add up to a breach only together

Option = TypeVar("Option")


class Choices(Protocol):
    """Makes the choices of one schedule."""

    def choose(self, options: Sequence[Option], even: bool = False) -> Option:
        """One of the options; the first is the worst.  `even`: none is preferred when drawn."""

    def next_choices(self) -> Optional["Choices"]:
        """Those of another schedule; None where there is no other."""


class EnumeratedChoices:
    """One path through the tree of choices; the first path takes the worst option everywhere."""

    def __init__(self, path: tuple[int, ...] = ()):
        self.path = path
        self._made: list[tuple[int, int]] = []  # index chosen and number of options

    def choose(self, options: Sequence[Option], even: bool = False) -> Option:
        """The option on this path."""
        if len(options) == 1:
            return options[0]
        position = len(self._made)
        index = self.path[position] if position < len(self.path) else 0
        self._made.append((index, len(options)))
        return options[index]

    def next_choices(self) -> Optional["EnumeratedChoices"]:
        """The following path, after this one was gone through; None at the last."""
        made = list(self._made)
        while made:
            index, count = made.pop()
            if index + 1 < count:
                return EnumeratedChoices((*(before for before, _ in made), index + 1))
        return None


class RandomChoices:
    """Draws every choice."""

    def __init__(self, generator: random.Random):
        self.generator = generator

    def choose(self, options: Sequence[Option], even: bool = False) -> Option:
        """A drawn option: mostly the first, unless they are `even`."""
        if len(options) == 1:
            return options[0]
        if not even and self.generator.random() < WORST_PROBABILITY:
            return options[0]
        return options[self.generator.randrange(len(options))]

    def next_choices(self) -> "RandomChoices":
        """This one, which draws on."""
        return self
