"""Days that a search found, kept in files and simulated again as regression tests."""

import json
from pathlib import Path
from typing import NamedTuple

from rushmux.lab import variants
from rushmux.lab.errors import LabError
from rushmux.lab.experiment import ExperimentError, check
from rushmux.lab.experiment_schema import Experiment
from rushmux.lab.search import Candidate, SimulatedDay, simulate_day

FORMAT = 1
TOLERANCE = 0.03  # part served less than when it was saved that still passes
NOT_SAVED = ("variants", "seeds", "troubles")  # of the experiment


class SavedDayError(LabError):
    """A file that is no saved day; the text says why.

    Attributes:
        path: The file.
    """

    def __init__(self, path: str | Path, text: str):
        super().__init__(text)
        self.path = path


class SavedDay(NamedTuple):
    """What a file of a saved day holds."""

    experiment: Experiment
    seed: int
    served: float
    """Part served in time when it was saved."""


class ReplayResult(NamedTuple):
    """Whether a saved day still passes, and plain text of what was seen."""

    passes: bool
    text: str


def save(path: str | Path, experiment: Experiment, day: SimulatedDay) -> None:
    """Writes a day that `replay` simulates again."""
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
        SavedDayError: The file cannot be read or is no saved day.
    """
    try:
        with open(path) as file:
            content = json.load(file)
        if content["format"] != FORMAT:
            raise SavedDayError(path, f"{path}: format {content['format']}, this reads {FORMAT}")
        stated = {
            **content["experiment"],
            "troubles": content["troubles"],
            "variants": [{"name": "module"}],
        }
        return SavedDay(check(stated, str(path)), int(content["seed"]), float(content["served"]))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SavedDayError(path, f"{path}: is no saved day: {error}") from error
    except ExperimentError as error:
        raise SavedDayError(path, str(error)) from error


def replay(path: str | Path, tolerance: float = TOLERANCE) -> ReplayResult:
    """Simulates a saved day with the scheduler as it is.

    It passes where the rules are kept and no less is served than when it was saved, but for the tolerance.

    Raises:
        SavedDayError: The file cannot be read or is no saved day.
    """
    saved = load(path)
    variant = saved.experiment["variants"][0]
    candidate = Candidate(saved.seed, tuple(saved.experiment["troubles"]))
    day = simulate_day(saved.experiment, variant, variants.load_source(variant), candidate)
    passes = not day.broken and day.served >= saved.served - tolerance
    rules = f"BROKEN: {', '.join(day.broken)}" if day.broken else "kept"
    text = f"{path}: {day.served:.3f} in time, {saved.served:.3f} when it was saved; rules {rules}"
    return ReplayResult(passes, text)
