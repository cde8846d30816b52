"""Decisions of the flush policy, on a simulated clock."""

import pytest

from rushmux.buffer.buffered_files import NO_BARRIER
from rushmux.buffer.buffered_writes import BufferedWrites
from rushmux.buffer.flush_policy import Admission, BufferLimits, FlushPolicy

LIMITS = BufferLimits(
    edge_bytes=3_000,
    folder_bytes=2_000,
    max_age=2.0,
    max_retention=10.0,
    idle_time=0.3,
    batch_files=3,
    batch_bytes=1_000,
    max_batches=2,
    background_share=0.5,
)
BACKGROUND_RATE = 5.0  # units per second


@pytest.fixture
def writes():
    return BufferedWrites(lambda folder: BACKGROUND_RATE)


@pytest.fixture
def policy(writes):
    return FlushPolicy(writes, LIMITS, lambda size: 1.0 + size // 1_000)


@pytest.fixture
def add(writes):
    """Buffers a write of a file and returns the file."""

    def added(file_id, size=100, *, now=0.0, folder="f", start=0):
        file = writes.file(folder, file_id, f"/{folder}/{file_id}")
        writes.add(file, start, b"x" * size, now)
        return file

    return added


def file_ids(batch):
    return [part.file.file_id for part in batch.parts]


def test_buffered_bytes_are_limited(writes, policy, add):
    assert policy.admit("f", 2_001, 0.0) == Admission.BYPASS
    add("a", 1_500)
    assert policy.admit("f", 500, 0.0) == Admission.ADMIT and policy.admit("f", 501, 0.0) == Admission.WAIT
    add("b", 1_400, folder="g")
    assert policy.admit("h", 101, 0.0) == Admission.WAIT and policy.admit("h", 100, 0.0) == Admission.ADMIT
    add("a", 1_500, start=0)  # overwrites the same bytes: nothing is added
    assert writes.byte_count == 2_900


def test_failing_flushes_stop_new_writes_until_one_succeeds(policy, add):
    add("a")
    batch, _ = policy.next_batch(1.0)
    assert policy.admit("f", 1, 9.0) == Admission.ADMIT  # old, but nothing has failed
    policy.on_batch_failed(batch, 1.0, "no")
    assert policy.admit("f", 1, 2.9) == Admission.ADMIT and policy.admit("f", 1, 3.1) == Admission.WAIT
    assert policy.admit("g", 1, 3.1) == Admission.ADMIT
    batch, _ = policy.next_batch(3.2)
    policy.on_batch_committed(batch, 3.3, {})
    assert policy.admit("f", 1, 3.4) == Admission.ADMIT


def test_an_idle_file_is_flushed_after_the_idle_time(policy, add):
    add("a")
    assert policy.next_batch(0.0) == (None, pytest.approx(0.3))
    batch, _ = policy.next_batch(0.31)
    assert file_ids(batch) == ["a"] and not batch.is_requested


def test_a_busy_file_is_flushed_when_its_oldest_write_is_old(policy, add):
    for step in range(11):
        file = add("a", now=step * 0.2, start=step * 50)
        if step < 10:
            assert policy.next_batch(step * 0.2)[0] is None
    assert file_ids(policy.next_batch(2.0)[0]) == ["a"] and not file.layers[0].index.chunks


def test_background_batches_keep_to_the_budget(policy, add):
    policy.limits = LIMITS._replace(max_age=100.0)
    taken = 0
    for step in range(100):
        now = step * 0.1
        add(f"a{step}", now=now - 0.5)
        batch, _ = policy.next_batch(now)
        if batch is not None:
            taken += 1
            policy.on_batch_committed(batch, now, {})
    # Five units per second for ten seconds, one or two per batch, and one second saved up.
    assert 25 <= taken <= 56


def test_a_requested_flush_goes_first_with_the_layers_below_it(writes, policy, add):
    add("old", now=-5.0, folder="g")
    add("a")
    writes.set_barrier("f")
    requested = add("b")
    writes.folder("f").requested_barrier = NO_BARRIER
    sequence = writes.request_flush(requested)
    first, _ = policy.next_batch(0.0)
    assert first.folder.name == "f" and file_ids(first) == ["a"] and first.is_requested
    assert not writes.is_flushed(requested, sequence)
    policy.on_batch_committed(first, 0.1, {})
    second, _ = policy.next_batch(0.1)
    assert file_ids(second) == ["b"] and second.is_requested
    policy.on_batch_committed(second, 0.2, {})
    assert writes.is_flushed(requested, sequence)


def test_no_layer_is_flushed_before_the_one_below_it(writes, policy, add):
    file = add("a")
    barrier = writes.set_barrier("f")
    add("a", start=50)
    add("b")
    first, _ = policy.next_batch(0.0)
    assert file_ids(first) == ["a"] and first.barrier == barrier
    assert policy.next_batch(0.0)[0] is None  # one batch per folder
    policy.on_batch_failed(first, 0.0, "no")
    retried, _ = policy.next_batch(0.2)
    assert (
        file_ids(retried) == ["a"]
        and retried.barrier == barrier
        and not writes.is_barrier_flushed("f", barrier)
    )
    policy.on_batch_committed(retried, 0.3, {})
    assert writes.is_barrier_flushed("f", barrier) and file.dirty
    assert sorted(file_ids(policy.next_batch(3.0)[0])) == ["a", "b"]


def test_writes_that_arrive_during_a_flush_are_not_in_its_batch(writes, policy, add):
    file = add("a")
    sequence = writes.request_flush(file)
    batch, _ = policy.next_batch(0.0)
    add("a", start=50, now=0.1)
    assert [(extent.start, extent.end) for extent in file.overlay(0, 1_000)] == [(0, 100), (50, 150)]
    assert batch.parts[0].index.end == 100
    policy.on_batch_committed(batch, 0.2, {})
    assert writes.is_flushed(file, sequence) and file.dirty and writes.byte_count == 100
    batch, _ = policy.next_batch(3.0)
    policy.on_batch_committed(batch, 3.0, {})
    assert writes.byte_count == 0 and writes.find_file("f", "a") is None


def test_a_failed_batch_is_put_back_under_newer_writes(writes, policy, add):
    file = add("a")
    batch, _ = policy.next_batch(1.0)
    writes.add(file, 50, b"y" * 100, 1.0)
    policy.on_batch_failed(batch, 1.1, "no")
    assert bytes(b"".join(extent.data for extent in file.overlay(0, 200))) == b"x" * 50 + b"y" * 100
    assert (
        writes.byte_count == 150
        and policy.next_batch(1.15)[0] is None
        and policy.next_batch(1.3)[0] is not None
    )


def open_two_handles(*files):
    for file in files:
        file.losses.open_handle("one")
        file.losses.open_handle("two")


def losses_told(file):
    """Returns what two flushes through each handle of a file report."""
    return [file.losses.take_error(handle) for handle in ("one", "two") for _ in range(2)]


def test_writes_that_cannot_be_flushed_are_discarded_with_all_layers_above(writes, policy, add):
    below = add("a")
    writes.set_barrier("f")
    above = add("b")
    other = add("c", folder="g")
    open_two_handles(below, above, other)
    now = 0.0
    while writes.folder("f").byte_count:
        batch, check_at = policy.next_batch(now)
        if batch is None:
            now = max(check_at, now + 0.01)
        elif batch.folder.name == "f":
            policy.on_batch_failed(batch, now, "no node")
        else:
            policy.on_batch_committed(batch, now, {})
    assert 10.0 <= now <= 16.0
    told = losses_told(below)
    assert "no node" in str(told[0]) and told == [told[0], None, told[0], None]
    told = losses_told(above)
    assert "/f/b" in str(told[0]) and told == [told[0], None, told[0], None]
    assert losses_told(other) == [None] * 4
    for file in (below, above):
        for handle in ("one", "two"):
            file.losses.close_handle(handle)
        writes.forget_if_unused(file)
    assert writes.byte_count == 0 and not writes.folder("f").files


def test_the_bytes_of_a_batch_are_limited(policy, add):
    for number in range(5):
        add(f"f{number}", 400, folder="f", now=number / 10)
    batch, _ = policy.next_batch(5.0)
    assert file_ids(batch) == ["f0", "f1"]


def test_a_removed_file_discards_its_own_writes_only(writes, policy, add):
    removed, other = add("a"), add("b")
    open_two_handles(removed, other)
    batch, _ = policy.next_batch(5.0)
    policy.on_batch_committed(batch, 5.0, {removed: "the file was removed"})
    assert list(map(str, losses_told(removed))) == ["/f/a: the file was removed", "None"] * 2
    assert losses_told(other) == [None] * 4


def test_a_flush_that_would_take_too_long_is_predicted(writes, policy, add):
    assert policy.can_flush_within(0.01)
    for _ in range(6):
        add("a")
        batch, _ = policy.next_batch(writes.last_sequence * 10.0)
        policy.on_batch_committed(batch, batch.started_at + 0.5, {})
    assert policy.can_flush_within(0.6) and not policy.can_flush_within(0.4)
