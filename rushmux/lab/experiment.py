"""Reads and checks experiment files and expands their factors.

An experiment stays a JSON object (`experiment_schema`), checked and completed with the defaults.
"""

import copy
import json
import re
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import jsonschema

from rushmux.lab import day, faults, trace
from rushmux.lab.errors import LabError
from rushmux.lab.experiment_schema import SCHEMA, Experiment
from rushmux.lab.json_path import set_value
from rushmux.settings.deployment import DeploymentError

MAX_NAME_LENGTH = 60  # of an expanded experiment


class ExperimentProblem(NamedTuple):
    """One problem of an experiment."""

    path: str
    """JSON pointer of the value, such as `/fleet/edges`."""
    text: str


class ExperimentError(LabError):
    """The input is not a valid experiment.

    Attributes:
        source: The file, or the name of the experiment.
        problems: All problems found.
    """

    def __init__(self, source: str | Path, problems: Sequence[ExperimentProblem]):
        super().__init__("\n".join(f"{source}: {path}: {text}" for path, text in problems))
        self.source, self.problems = source, list(problems)


def load(path: str | Path) -> Experiment:
    """Reads an experiment from a file.

    Raises:
        ExperimentError: The file cannot be read or is not a valid experiment.
    """
    try:
        raw = json.loads(Path(path).read_text())
    except OSError as error:
        raise ExperimentError(path, [ExperimentProblem("/", f"cannot be read: {error.strerror}")]) from error
    except ValueError as error:
        raise ExperimentError(path, [ExperimentProblem("/", f"is not JSON: {error}")]) from error
    return check(raw, str(path))


def check(raw: Any, source: str = "experiment") -> Experiment:
    """Returns the experiment completed with the defaults.

    Raises:
        ExperimentError: It is not valid; the error lists all problems.
    """
    problems = _schema_problems(raw)
    if problems:
        raise ExperimentError(source, problems)
    experiment = _with_defaults(raw)
    problems = _name_problems(experiment) + _fault_line_problems(experiment)
    volumes: Sequence = ()
    try:
        volumes = day.draw_volumes(experiment, 0)
    except (trace.TraceError, OSError) as error:
        problems.append(ExperimentProblem("/trace", str(error)))
    if volumes:
        problems += _variant_problems(experiment, volumes)
    if problems:
        raise ExperimentError(source, problems)
    return experiment


def _schema_problems(raw: Any) -> list[ExperimentProblem]:
    errors = jsonschema.Draft202012Validator(SCHEMA).iter_errors(raw)
    return sorted(
        ExperimentProblem("/" + "/".join(map(str, error.absolute_path)), error.message) for error in errors
    )


def _with_defaults(raw: dict[str, Any]) -> Experiment:
    experiment = copy.deepcopy(raw)
    for name, part in SCHEMA["properties"].items():
        if "default" in part:
            experiment.setdefault(name, copy.deepcopy(part["default"]))
        for inner, value in part.get("properties", {}).items():
            if "default" in value:
                experiment.setdefault(name, {}).setdefault(inner, value["default"])
    return experiment


def _name_problems(experiment: Experiment) -> list[ExperimentProblem]:
    names = [variant["name"] for variant in experiment["variants"]]
    if len(set(names)) == len(names):
        return []
    return [ExperimentProblem("/variants", f"duplicate names: {', '.join(names)}")]


def _fault_line_problems(experiment: Experiment) -> list[ExperimentProblem]:
    try:
        faults.parse(experiment["troubles"])
    except faults.FaultError as error:
        return [ExperimentProblem("/troubles", str(error))]
    return []


def _variant_problems(experiment: Experiment, volumes: Sequence) -> list[ExperimentProblem]:
    problems = []
    for number, variant in enumerate(experiment["variants"]):
        try:
            day.build_deployment(experiment, variant, volumes)
        except (DeploymentError, KeyError, TypeError, IndexError) as error:
            problems.append(ExperimentProblem(f"/variants/{number}", f"has no valid deployment: {error}"))
    return problems


def expand(experiment: Experiment) -> list[Experiment]:
    """Returns an experiment for each combination of factors; without factors, the experiment itself.

    Raises:
        ExperimentError: A factor has a value that the schema does not allow.
    """
    expanded = [experiment]
    for path, values in experiment["factors"].items():
        expanded = [_with_factor(each, path, value) for each in expanded for value in values]
    return [check({**each, "factors": {}}, each["name"]) for each in expanded]


def _with_factor(experiment: Experiment, path: str, value: Any) -> Experiment:
    changed = copy.deepcopy(experiment)
    set_value(changed, path, value)
    key = path.rsplit("/", 1)[1]
    suffix = re.sub("[^a-z0-9]+", "-", f"{key}-{value}".lower()).strip("-")
    changed["name"] = f"{experiment['name']}-{suffix}"[:MAX_NAME_LENGTH]
    return changed
