"""Reads KNOWN-RED.txt: tests that fail for a real fault not mended yet, `test id, cause, issue N` a line.

Prints pytest's options that leave just these out, and tells on standard error which they are.  Exits 1 on a
fourth line, a malformed one, or an id that names no test.
"""

import re
import subprocess
import sys
from pathlib import Path

MAX_LINES = 3
"""The operators' bound."""
LINE = re.compile(r"(?P<test>tests/\S+\.py::\S+), (?P<cause>.+), issue (?P<issue>[0-9]+)")


def listed(text: str) -> list[tuple[str, str, str]]:
    """Test, cause and issue of each line; ValueError."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise ValueError(f"{len(lines)} lines where {MAX_LINES} may stand")
    found = [LINE.fullmatch(line) for line in lines]
    for line, match in zip(lines, found, strict=True):
        if match is None:
            raise ValueError(f"a line that is not `test id, cause, issue N`: {line!r}")
    return [match.group("test", "cause", "issue") for match in found]


def names_a_test(test: str, root: Path) -> bool:
    """Whether pytest collects just this id, alone or as a parametrised one."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", test],
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode == 0 and any(
        line == test or line.startswith(test + "[") for line in done.stdout.splitlines()
    )


def main(root: Path) -> int:
    """Prints the options for the tests that are listed; the exit code."""
    try:
        rows = listed((root / "KNOWN-RED.txt").read_text(encoding="utf-8"))
        for test, _, _ in rows:
            if not names_a_test(test, root):
                raise ValueError(f"no test is called {test!r}")
    except (OSError, ValueError) as fault:
        print(f"KNOWN-RED.txt: {fault}", file=sys.stderr)
        return 1
    for test, cause, issue in rows:
        print(f"known red, not run: {test}: {cause} (issue {issue})", file=sys.stderr)
    print(f"known red tests: {len(rows)}", file=sys.stderr)
    print(" ".join(f"--deselect={test}" for test, _, _ in rows))
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parents[1]))
