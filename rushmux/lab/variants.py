"""The scheduler of a variant: from this tree or a revision, perhaps with texts replaced."""

import hashlib
import importlib.abc
import importlib.util
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from rushmux import scheduling
from rushmux.lab import legacy_scheduler
from rushmux.lab.baselines import BASELINES
from rushmux.lab.errors import LabError
from rushmux.lab.experiment_schema import Variant

ROOT = Path(scheduling.__file__).resolve().parents[2]
PACKAGE, FOLDER = "rushmux.scheduling", "rushmux/scheduling"
SHARED_MODULES = ("__init__", "interface", "driver")  # modules of the package that all variants share


class SourceError(LabError):
    """The source of a variant's scheduler cannot be made; the message says why.

    Attributes:
        name: The revision, or the name of the variant.
    """

    def __init__(self, name: str, text: str):
        super().__init__(text)
        self.name = name


class SchedulerSource(NamedTuple):
    """The source texts of a scheduler by path."""

    texts: tuple[tuple[str, str], ...]

    def digest(self) -> str:
        """A digest of the texts."""
        joined = "\0".join(field for row in self.texts for field in row)
        return hashlib.blake2b(joined.encode(), digest_size=8).hexdigest()

    def load(self) -> Callable:
        """Loads the scheduler; the result is called like `scheduler.Scheduler`."""
        texts = dict(self.texts)
        if legacy_scheduler.LEGACY_RULES in texts:
            interface = texts[legacy_scheduler.LEGACY_INTERFACE]
            return legacy_scheduler.load(interface, texts[legacy_scheduler.LEGACY_RULES])
        name = f"scheduling_{self.digest()}"
        if name not in sys.modules:
            _import_package(name, {Path(path).stem: text for path, text in self.texts})
        return sys.modules[f"{name}.scheduler"].Scheduler


class _TextFinder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports the modules of one package from texts."""

    def __init__(self, package: str, texts: dict[str, str]):
        self.package, self.texts = package, texts

    def find_spec(self, fullname, path, target=None):
        package, _, stem = fullname.rpartition(".")
        if fullname == self.package:
            return importlib.util.spec_from_loader(fullname, self, is_package=True)
        if package == self.package and stem in self.texts:
            return importlib.util.spec_from_loader(fullname, self)
        return None

    def exec_module(self, module):
        stem = module.__name__.rpartition(".")[2]
        if module.__name__ == self.package:
            return
        text = self.texts[stem]
        for other in self.texts:
            text = text.replace(f"from {PACKAGE}.{other} import", f"from {self.package}.{other} import")
        # The text is from this repository, perhaps changed by the experiment.
        exec(compile(text, f"{FOLDER}/{stem}.py", "exec"), module.__dict__)


def _import_package(name: str, texts: dict[str, str]) -> None:
    finder = _TextFinder(name, texts)
    sys.meta_path.insert(0, finder)
    try:
        importlib.import_module(f"{name}.scheduler")
    finally:
        sys.meta_path.remove(finder)


def _git(*arguments: str) -> subprocess.CompletedProcess:
    command = ["git", "-C", str(ROOT), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def _read_revision(revision: str) -> dict[str, str]:
    listed = _git("ls-tree", "--name-only", revision, f"{FOLDER}/", legacy_scheduler.LEGACY_RULES)
    if listed.returncode:
        raise SourceError(revision, f"revision {revision}: {listed.stderr.strip()}")
    paths = [path for path in listed.stdout.split() if _is_variant_module(path)]
    if legacy_scheduler.LEGACY_RULES in paths:
        paths = [legacy_scheduler.LEGACY_INTERFACE, legacy_scheduler.LEGACY_RULES]
    if not paths:
        raise SourceError(revision, f"revision {revision} has no scheduler")
    return {path: _git("show", f"{revision}:{path}").stdout for path in paths}


def _is_variant_module(path: str) -> bool:
    return path.endswith(".py") and Path(path).stem not in SHARED_MODULES


def load_source(variant: Variant) -> SchedulerSource:
    """The source of the scheduler of a variant.

    Raises:
        SourceError: The revision has no scheduler, or a text to replace does not occur exactly once.
    """
    if "revision" in variant:
        texts = _read_revision(variant["revision"])
    else:
        paths = sorted(path for path in (ROOT / FOLDER).iterdir() if _is_variant_module(path.name))
        texts = {f"{FOLDER}/{path.name}": path.read_text(encoding="utf-8") for path in paths}
    for old, new in variant.get("without", ()):
        count = sum(text.count(old) for text in texts.values())
        if count != 1:
            raise SourceError(
                variant["name"],
                f"variant {variant['name']}: '{old[:60]}' occurs {count} times in the scheduler, not once",
            )
        texts = {path: text.replace(old, new) for path, text in texts.items()}
    return SchedulerSource(tuple(texts.items()))


def scheduler_type(variant: Variant, scheduler_source: SchedulerSource) -> Callable:
    """What creates a variant's schedulers."""
    if variant.get("decisions", "module") != "module":
        return BASELINES[variant["decisions"]]
    return scheduler_source.load()
