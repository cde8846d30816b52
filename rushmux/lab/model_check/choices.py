"""The choices that determine a schedule: enumerated in order, or drawn at random."""

import random
from collections.abc import Sequence
from typing import Optional, Protocol, TypeVar

# Probability of drawing the first option: only several worst delays together lead to a breach.
WORST_OPTION_PROBABILITY = 0.7

Option = TypeVar("Option")


class Choices(Protocol):
    """Makes the choices of one schedule."""

    def choose(self, options: Sequence[Option], uniform: bool = False) -> Option:
        """Returns one of the options.

        Args:
            options: What to choose from, the worst first.
            uniform: Whether a random choice draws all options equally often.
        """

    def next_choices(self) -> Optional["Choices"]:
        """Returns the choices of another schedule, or None if there is none left."""


class EnumeratedChoices:
    """One path through the tree of choices; the default path takes the worst option everywhere."""

    def __init__(self, path: tuple[int, ...] = ()):
        self.path = path
        self._made: list[tuple[int, int]] = []  # chosen index and number of options

    def choose(self, options: Sequence[Option], uniform: bool = False) -> Option:
        """Returns the option on this path."""
        if len(options) == 1:
            return options[0]
        position = len(self._made)
        index = self.path[position] if position < len(self.path) else 0
        self._made.append((index, len(options)))
        return options[index]

    def next_choices(self) -> Optional["EnumeratedChoices"]:
        """Returns the path after this one, which a schedule must have run to its end; None after the last."""
        made = list(self._made)
        while made:
            index, count = made.pop()
            if index + 1 < count:
                return EnumeratedChoices((*(earlier for earlier, _ in made), index + 1))
        return None


class RandomChoices:
    """Draws every choice from a random generator."""

    def __init__(self, generator: random.Random):
        self.generator = generator

    def choose(self, options: Sequence[Option], uniform: bool = False) -> Option:
        """Returns a drawn option: mostly the first, unless `uniform`."""
        if len(options) == 1:
            return options[0]
        if not uniform and self.generator.random() < WORST_OPTION_PROBABILITY:
            return options[0]
        return options[self.generator.randrange(len(options))]

    def next_choices(self) -> "RandomChoices":
        """Returns itself: further choices are drawn from the same generator."""
        return self
