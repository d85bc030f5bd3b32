"""How old a table is, worked out from stamps and from questions that took their time; and when a start may serve."""

from __future__ import annotations

from random import Random

import pytest

from oakvale.base.limits import MS, SECOND
from oakvale.dataplane.service_entry import ServiceEntry
from oakvale.dissemination.freshness import CALIBRATION_INTERVAL_US, MAX_PENDING_STAMPS, Freshness, Stamp

PRIMARY, NEXT_PRIMARY = (3, 1), (4, 1)
APPLY_US, RECOVER_US = 4 * SECOND, 15 * SECOND


def stamp(made_at: int, sequence: int, primary: tuple[int, int] = PRIMARY) -> Stamp:
    return Stamp(primary, made_at, (primary[0], sequence))


def test_the_age_counts_the_time_under_way() -> None:
    """The question's way there counts as well: its answer was stamped at any moment between."""
    freshness = Freshness()
    freshness.received(stamp(500, 7))
    freshness.table_reached((3, 7))
    assert freshness.age(10_000) is None and freshness.needs_calibration(10_000)
    freshness.calibrate(10_000, stamp(700, 7), 0)
    assert freshness.current_as_of() == 9_800
    assert freshness.age(70_000) == 60_200 and not freshness.needs_calibration(70_000)


def test_a_table_is_current_as_of_the_stamps_whose_versions_it_holds() -> None:
    freshness = Freshness()
    freshness.calibrate(1_000, stamp(1_000, 1), 0)
    for made_at, sequence in ((2_000, 1), (3_000, 5), (4_000, 5), (5_000, 9)):
        freshness.received(stamp(made_at, sequence))
    ages = []
    for sequence in (1, 4, 5, 9):
        freshness.table_reached((3, sequence))
        ages.append(freshness.age(6_000))
    assert ages == [4_000, 4_000, 2_000, 1_000]


def test_the_lag_counts_from_the_first_stamp_of_a_version() -> None:
    freshness = Freshness()
    freshness.calibrate(0, stamp(0, 1), 0)
    for made_at, sequence in ((2_000, 5), (3_000, 5), (4_000, 9)):
        freshness.received(stamp(made_at, sequence))
    lags = [freshness.lag(5_000)]
    for sequence in (5, 9):
        freshness.table_reached((3, sequence))
        lags.append(freshness.lag(5_000))
    assert lags == [3_000, 1_000, 0]


def test_the_age_that_a_relay_tells_counts_in_full() -> None:
    freshness = Freshness()
    freshness.calibrate(10_000, stamp(100, 1), 3_000)
    freshness.received(stamp(100, 1))
    freshness.table_reached((3, 1))
    assert freshness.age(10_500) == 3_500


def test_a_new_primary_is_asked_and_what_was_known_stays() -> None:
    freshness = Freshness()
    freshness.received(stamp(0, 1))
    freshness.calibrate(1_000, stamp(0, 1), 0)
    freshness.table_reached((3, 1))
    freshness.received(stamp(9_000_000, 1, NEXT_PRIMARY))
    freshness.table_reached((4, 1))
    assert freshness.needs_calibration(2_000) and freshness.age(2_000) == 1_000
    freshness.calibrate(2_000, stamp(0, 1), 0)  # a late answer of the replaced primary
    assert freshness.needs_calibration(2_500)
    freshness.calibrate(2_500, stamp(9_000_000, 1, NEXT_PRIMARY), 0)
    assert freshness.age(3_000) == 500


def test_stamps_that_wait_are_bounded() -> None:
    freshness = Freshness()
    freshness.calibrate(0, stamp(0, 0), 0)
    for sequence in range(1, 10 * MAX_PENDING_STAMPS):
        freshness.received(stamp(sequence, sequence))
    freshness.table_reached((3, 1))
    assert freshness.current_as_of() == 1
    freshness.table_reached((3, 10 * MAX_PENDING_STAMPS))
    assert freshness.current_as_of() == 10 * MAX_PENDING_STAMPS - 1


@pytest.mark.parametrize("seed", range(20))
def test_the_table_is_never_older_than_its_age_says(seed: int) -> None:
    """Clocks with any offset, messages with any delay, and changes in between, against the true moments."""
    rng, freshness = Random(seed), Freshness()
    offset_us, version, now = rng.randrange(-(10**9), 10**9), 1, 0
    in_force_since = {1: 0}
    under_way: list[tuple[int, Stamp]] = []  # by arrival
    held = 0
    for _ in range(400):
        now += rng.randrange(1, 200 * MS)
        if rng.random() < 0.3:
            version += 1
            in_force_since[version] = now
        sent = stamp(now - offset_us, version)
        under_way.append((max([now + rng.randrange(3 * SECOND), *(at for at, _ in under_way)]), sent))
        while under_way and under_way[0][0] <= now:
            _, arrived = under_way.pop(0)
            freshness.received(arrived)
            held = arrived.version[1]
            freshness.table_reached(arrived.version)
        if freshness.needs_calibration(now) or rng.random() < 0.05:
            asked_at = now - rng.randrange(2 * SECOND)
            answered = stamp(rng.randrange(asked_at, now + 1) - offset_us, 0)
            freshness.calibrate(asked_at, answered, 0)
        as_of = freshness.current_as_of()
        if as_of is not None and held + 1 in in_force_since:
            assert as_of <= in_force_since[held + 1]


def test_the_calibration_is_repeated() -> None:
    freshness = Freshness()
    freshness.received(stamp(0, 1))
    freshness.calibrate(0, stamp(0, 1), 0)
    assert not freshness.needs_calibration(CALIBRATION_INTERVAL_US)
    assert freshness.needs_calibration(CALIBRATION_INTERVAL_US + 1)


def test_a_malformed_stamp_is_refused() -> None:
    assert Stamp.unpack(None) is None
    assert Stamp.unpack([3, 1, 5, 3, 7]) == Stamp((3, 1), 5, (3, 7)) == Stamp.unpack(Stamp((3, 1), 5, (3, 7)).pack())
    for malformed in ([3, 1, 5, 3], "stamp", [3, 1, "x", 3, 7]):
        with pytest.raises((ValueError, TypeError)):
            Stamp.unpack(malformed)


def test_a_start_serves_once_its_state_is_current_and_goes_on_when_cut_off() -> None:
    entry = ServiceEntry(APPLY_US, RECOVER_US)
    assert not entry.check(0, False, 0)
    assert not entry.check(1_000, True, None)
    assert not entry.check(2_000, True, APPLY_US // 4 + 1)
    assert entry.check(3_000, True, APPLY_US // 4)
    assert entry.check(10**9, True, 10**9)


def test_a_start_whose_state_cannot_be_shown_to_be_current_serves_before_recover() -> None:
    """The wait begins with the configuration, however long the core was down before."""
    entry = ServiceEntry(APPLY_US, RECOVER_US)
    assert not entry.check(RECOVER_US, False, None)
    assert not entry.check(2 * RECOVER_US, True, None)
    assert not entry.check(2 * RECOVER_US + RECOVER_US // 3 - 1, True, APPLY_US)
    assert entry.check(2 * RECOVER_US + RECOVER_US // 3, True, None)
