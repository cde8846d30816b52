"""Shares of a limit where requests or quotas of one volume differ, over several schedulers.

Requests of one volume may name different numbers of gateways.  The first number was kept: a gateway whose
first request named one gateway went on with the whole limit beside another that held its half, for as long as
requests came.
"""

import pytest

from rushmux.scheduling.interface import VolumeEventKind

SECONDS = 10_000  # ticks
RATE, BURST = 10.0, 48.0


def started(players):
    for player in players:
        player.play(f"lane read stop=60000 quoted=50000\nplan base limit={RATE} burst={BURST} slack=8")
        player.play("start\nlist whole n/0")


def ask(player, name, gateways, units=8):
    player.play(f"take {name} units={units} mounts={gateways}")
    player.scheduler.run_round(player.now)


def answer(player):
    """Answers all that was let go, and returns its units."""
    used = 0
    while operations := [each for each in player.scheduler.operations.values() if each.in_flight]:
        for operation in operations:
            player.play(f"back {operation.op_id} succeeded")
            used += operation.units
        player.scheduler.run_round(player.now)
    return used


def saturate(players, seconds, counts):
    """Units let go by gateways whose clients always ask for more; `counts`: what requests name in turn."""
    used, number = 0, 0
    for _ in range(seconds * 10):
        for player in players:
            player.until(player.now + SECONDS // 10)
            for count in counts * 3:
                number += 1
                ask(player, f"o{number}", count)
            used += answer(player)
    return used


@pytest.mark.parametrize("counts", [(2,), (2, 1), (1, 2), (1, 1, 2)])
def test_requests_that_name_different_numbers_of_gateways_keep_the_limit(player, another_player, counts):
    players = [player, another_player]
    started(players)
    for each in players:
        each.until(20 * SECONDS)
    used = saturate(players, 20, counts)
    # A request that names too few may be the first to come: what it let go is owed from the second on.
    assert used <= BURST + RATE * 20 + 8
    assert used > RATE * 15


def test_what_a_larger_share_used_is_owed(player):
    started([player])
    player.until(20 * SECONDS)
    for number in range(6):
        ask(player, f"a{number}", 1)
    assert answer(player) == BURST
    ask(player, "b", 3)
    assert player.events[-1].kind is VolumeEventKind.SPLIT_FURTHER
    assert player.events[-1].limit_level == pytest.approx(-32)
    assert player.events[-1].limit_rate == pytest.approx(RATE / 3)
    player.until(31 * SECONDS)
    player.scheduler.run_round(player.now)
    assert answer(player) == 0
    player.until(33 * SECONDS)
    player.scheduler.run_round(player.now)
    assert answer(player) == 8


def test_fewer_gateways_do_not_raise_the_share(player):
    started([player])
    player.until(20 * SECONDS)
    ask(player, "a", 4)
    ask(player, "b", 1)
    assert answer(player) == 8
    assert player.scheduler.volumes["v"].limit.capacity == BURST / 4


def test_a_quota_that_grew_before_the_volume_was_met_fills_from_then_on(player):
    """A volume met for the first time began with all that a quota had filled since the gateway's start.

    The part that had only just been told was another gateway's until then, and may have been used there.
    """
    started([player])
    player.scheduler.on_quota(0, "v", 0.1)
    player.until(100 * SECONDS)
    player.scheduler.on_quota(player.now, "v", 0.9)
    player.until(102 * SECONDS)
    ask(player, "a", 2, units=1)
    assert player.events[0].limit_level == pytest.approx(RATE * 0.9 * 2)
    assert player.events[0].limit_capacity == pytest.approx(BURST * 0.9)


def test_a_quota_that_shrank_before_the_volume_was_met_is_full_at_its_size(player):
    started([player])
    player.scheduler.on_quota(0, "v", 0.9)
    player.until(100 * SECONDS)
    player.scheduler.on_quota(player.now, "v", 0.1)
    ask(player, "a", 2, units=1)
    assert player.events[0].limit_level == pytest.approx(BURST * 0.1)
