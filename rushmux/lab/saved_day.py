"""Days found by a search, saved to files and simulated again as regression tests."""

import json
from pathlib import Path
from typing import NamedTuple

from rushmux.lab import variants
from rushmux.lab.errors import LabError
from rushmux.lab.experiment import ExperimentError, check
from rushmux.lab.experiment_schema import Experiment
from rushmux.lab.search import Candidate, SimulatedDay, simulate_day

FORMAT = 1
TOLERANCE = 0.03  # accepted decrease of the fraction served since the day was saved
NOT_SAVED = ("variants", "seeds", "troubles")  # keys of the experiment


class SavedDayError(LabError):
    """A file is not a saved day; the text says why.

    Attributes:
        path: The file.
    """

    def __init__(self, path: str | Path, text: str):
        super().__init__(text)
        self.path = path


class SavedDay(NamedTuple):
    """The content of a saved day's file."""

    experiment: Experiment
    seed: int
    served: float
    """Fraction served in time when it was saved."""


class ReplayResult(NamedTuple):
    """Whether a saved day still passes, with a summary as plain text."""

    passes: bool
    text: str


def save(path: str | Path, experiment: Experiment, day: SimulatedDay) -> None:
    """Saves a day for `replay`."""
    content = {
        "format": FORMAT,
        "experiment": {name: value for name, value in experiment.items() if name not in NOT_SAVED},
        "seed": day.seed,
        "troubles": list(day.lines),
        "served": day.served,
        "broken": list(day.broken),
    }
    with open(path, "w") as file:
        json.dump(content, file, indent=1)
        file.write("\n")


def load(path: str | Path) -> SavedDay:
    """Reads a saved day.

    Raises:
        SavedDayError: The file cannot be read or is not a saved day.
    """
    try:
        with open(path) as file:
            content = json.load(file)
        if content["format"] != FORMAT:
            raise SavedDayError(path, f"{path}: format {content['format']}, this reads {FORMAT}")
        raw = {
            **content["experiment"],
            "troubles": content["troubles"],
            "variants": [{"name": "module"}],
        }
        return SavedDay(check(raw, str(path)), int(content["seed"]), float(content["served"]))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SavedDayError(path, f"{path}: is not a saved day: {error}") from error
    except ExperimentError as error:
        raise SavedDayError(path, str(error)) from error


def replay(path: str | Path, tolerance: float = TOLERANCE) -> ReplayResult:
    """Simulates a saved day with the current scheduler.

    It passes if no rule is broken and, within the tolerance, no less is served than when it was saved.

    Raises:
        SavedDayError: The file cannot be read or is not a saved day.
    """
    saved = load(path)
    variant = saved.experiment["variants"][0]
    candidate = Candidate(saved.seed, tuple(saved.experiment["troubles"]))
    day = simulate_day(saved.experiment, variant, variants.load_source(variant), candidate)
    passes = not day.broken and day.served >= saved.served - tolerance
    rules = f"BROKEN: {', '.join(day.broken)}" if day.broken else "kept"
    text = f"{path}: {day.served:.3f} in time, {saved.served:.3f} when it was saved; rules {rules}"
    return ReplayResult(passes, text)
