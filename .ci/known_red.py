r"""Reads KNOWN-RED.txt, the short list of tests that fail because of a known, unfixed fault.

A line is `test id, cause, issue N`; after the id may come what shows the fault: `seed S` and a command in
backquotes.  In place of a test's id a line may name a script, `review/N/run.sh`, which CI never runs.  Prints
pytest's options that deselect the tests, and lists all lines on standard error.  Exits with 1 if the list or
a line is too long, a line is malformed, a test is listed twice, or an id or a script does not exist.

With --passing: runs each listed test and reports which of them pass, so that they can be removed.
"""

import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

MAX_LINES, MAX_LINE = 10, 400
"""Lines, and characters of a line: operators ask for a short list."""
TEST_TIMEOUT = 600
"""Seconds for one pytest run."""
LINE = re.compile(
    r"(?P<test>tests/\S+\.py::\S+|review/[0-9]+/run\.sh), (seed (?P<seed>[0-9]+), )?(`(?P<command>[^`]+)`, )?"
    r"(?P<cause>[^`]+), issue (?P<issue>[0-9]+)"
)


class KnownRed(NamedTuple):
    """A listed test or script; `seed` and `command` may be empty."""

    test: str
    seed: str
    command: str
    cause: str
    issue: str

    @property
    def is_script(self) -> bool:
        """Whether it is a script and not a test."""
        return self.test.endswith(".sh")

    def __str__(self) -> str:
        seed = f", seed {self.seed}" if self.seed else ""
        command = f", by `{self.command}`" if self.command else ""
        return f"{self.test}{seed}{command}: {self.cause} (issue {self.issue})"


def parse_list(text: str) -> list[KnownRed]:
    """Parses a list; raises ValueError if it is invalid."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise ValueError(f"{len(lines)} lines; at most {MAX_LINES} are allowed")
    rows = [_parse_line(line) for line in lines]
    tests = [row.test for row in rows]
    if len(set(tests)) < len(tests):
        raise ValueError("a test is listed twice")
    return rows


def _parse_line(line: str) -> KnownRed:
    match = LINE.fullmatch(line)
    if match is None:
        raise ValueError(f"malformed line, expected `test id, cause, issue N`: {line[:MAX_LINE]!r}")
    if len(line) > MAX_LINE:
        raise ValueError(f"a line of {len(line)} characters; at most {MAX_LINE} are allowed")
    return KnownRed(*(match.group(name) or "" for name in KnownRed._fields))


def _pytest(root: Path, *options: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *options],
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
        timeout=TEST_TIMEOUT,
    )


def names_a_test(test: str, root: Path) -> bool:
    """Returns whether pytest collects a test of this id, or one with parameters."""
    result = _pytest(root, "--collect-only", test)
    return result.returncode == 0 and any(
        line == test or line.startswith(test + "[") for line in result.stdout.splitlines()
    )


def passes(test: str, root: Path) -> bool:
    """Returns whether a listed test passes."""
    try:
        return _pytest(root, test).returncode == 0
    except subprocess.TimeoutExpired:
        return False


def main(root: Path, options: list[str]) -> int:
    """Prints the options for the listed tests, or which of them pass; returns the exit code."""
    try:
        rows = parse_list((root / "KNOWN-RED.txt").read_text(encoding="utf-8"))
        for row in rows:
            exists = (root / row.test).is_file() if row.is_script else names_a_test(row.test, root)
            if not exists:
                raise ValueError(f"no such test or script: {row.test!r}")
    except (OSError, ValueError) as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1
    if "--passing" in options:
        for row in (row for row in rows if not row.is_script):
            state = "passes now, take it off the list" if passes(row.test, root) else "still fails"
            print(f"known red, {state}: {row}", file=sys.stderr)
        return 0
    for row in rows:
        print(f"known red, not run: {row}", file=sys.stderr)
    print(f"known red tests: {len(rows)}", file=sys.stderr)
    print(" ".join(f"--deselect={row.test}" for row in rows if not row.is_script))
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parents[1], sys.argv[1:]))
