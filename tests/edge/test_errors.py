"""Texts of the edge's errors, for operators and in clients' status messages."""

import pytest

from rushmux.edge import errors
from rushmux.sftp import packets as sftp


@pytest.mark.parametrize(
    "error, text",
    [
        (errors.OperationShedError(2.0), "shed"),
        (errors.OperationFailedError(), "Terminated"),
        (errors.RequestRejectedError(sftp.FAILURE, "a/b exists"), "a/b exists"),
        (errors.ObjectMissingError("edge0.5.1"), "edge0.5.1"),
    ],
)
def test_status_texts_stay_the_same_for_clients(error, text):
    assert error.status_text == text


def test_errors_have_readable_texts_and_carry_their_values():
    assert errors.OperationShedError(2.0).retry_after == 2.0
    assert errors.RequestRejectedError(sftp.NO_SUCH_FILE, "a: no such file").status_code == sftp.NO_SUCH_FILE
    assert str(errors.ObjectMissingError("o")) == "object o is not on its node"
    assert str(errors.ObjectCorruptedError("o")) == "object o is corrupted"
