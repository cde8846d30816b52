"""The list of known red tests, which CI leaves out and prints."""

import importlib.util
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
SCRIPT = ROOT / ".ci" / "known_red.py"
VALID_LINE = "tests/test_it.py::test_red, the connect is late, issue 36"


def run_script(folder, text, *options):
    """Returns the script's exit code, options and errors in a temporary tree."""
    (folder / ".ci").mkdir()
    (folder / "tests").mkdir()
    (folder / "review" / "4").mkdir(parents=True)
    (folder / "review" / "4" / "run.sh").write_text("exit 1\n")
    (folder / ".ci" / "known_red.py").write_text(SCRIPT.read_text())
    (folder / "tests" / "test_it.py").write_text(
        "import pytest\n\ndef test_red():\n    assert False\n\n"
        "@pytest.mark.parametrize('n', [1, 2])\ndef test_many(n):\n    assert n\n"
    )
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)
    result = subprocess.run(
        [sys.executable, folder / ".ci" / "known_red.py", *options],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return result.returncode, result.stdout.strip(), result.stderr


@pytest.mark.parametrize(
    "text, options",
    [
        ("", ""),
        (VALID_LINE, "--deselect=tests/test_it.py::test_red"),
        ("review/4/run.sh, a script is not run, issue 7", ""),
        (f"review/4/run.sh, too, issue 7\n{VALID_LINE}", "--deselect=tests/test_it.py::test_red"),
        ("tests/test_it.py::test_many, of two, one fails, issue 7", "--deselect=tests/test_it.py::test_many"),
        ("tests/test_it.py::test_many[2], odd, issue 7\n\n", "--deselect=tests/test_it.py::test_many[2]"),
        (
            "tests/test_it.py::test_red, seed 9, `python -m pytest --seeds 9:10`, late, issue 36",
            "--deselect=tests/test_it.py::test_red",
        ),
    ],
)
def test_listed_tests_are_deselected_and_printed(tmp_path, text, options):
    code, printed_options, errors = run_script(tmp_path, text)
    assert code == 0 and printed_options == options
    assert all(line.split(", ")[0] in errors for line in text.split("\n") if line)


@pytest.mark.parametrize(
    "text",
    [
        "\n".join([VALID_LINE] * 2),
        "\n".join(f"tests/test_it.py::test_{number}, cause, issue 1" for number in range(11)),
        f"tests/test_it.py::test_red, {'long ' * 80}, issue 1",
        "tests/test_it.py::test_red, seed x, `a` `b`, cause, issue 1",
        "tests/test_it.py::test_red",
        VALID_LINE + " and more",
        "tests/test_it.py, all of it, issue 1",
        "test_red, cause, issue 1",
        "tests/test_it.py::test_red, , issue x",
        None,
        "tests/test_it.py::test_gone, was renamed, issue 1",
        "tests/test_gone.py::test_red, was moved, issue 1",
        "tests/test_it.py::test_re, half a name, issue 1",
        "review/5/run.sh, there is none, issue 1",
        "review/4/other.sh, a name of another form, issue 1",
        "review/../review/4/run.sh, a path of another form, issue 1",
    ],
)
def test_a_list_that_is_too_long_malformed_or_names_no_test_fails(tmp_path, text):
    code, printed_options, errors = run_script(tmp_path, text)
    assert code == 1 and not printed_options and "KNOWN-RED.txt" in errors and "Traceback" not in errors


def test_whether_listed_tests_pass_now_is_reported(tmp_path):
    text = f"{VALID_LINE}\ntests/test_it.py::test_many, all fail, issue 7\nreview/4/run.sh, red, issue 7"
    code, printed_options, errors = run_script(tmp_path, text, "--passing")
    assert code == 0 and not printed_options
    assert "still fails: tests/test_it.py::test_red" in errors
    assert "passes now, take it off the list: tests/test_it.py::test_many" in errors
    assert "review/" not in errors


def test_the_projects_own_list_can_be_read():
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    assert len(module.parse_list((ROOT / "KNOWN-RED.txt").read_text())) <= module.MAX_LINES
