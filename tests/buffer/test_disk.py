"""Log segments in a folder on disk."""

import pytest

from rushmux.buffer.disk import SegmentFolder
from rushmux.buffer.errors import LogInUseError


def test_a_folder_is_locked_by_one_program_and_keeps_its_segments(tmp_path):
    segments = SegmentFolder(tmp_path / "log")
    with pytest.raises(LogInUseError):
        SegmentFolder(tmp_path / "log")
    segments.append("1-1.log", b"abc")
    segments.append("1-1.log", b"def")
    assert segments.read("1-1.log") == b"abcdef" and segments.names() == ["1-1.log"]
    segments.quarantine("1-1.log")
    assert segments.names() == []
