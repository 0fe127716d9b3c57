import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from standins._grants import Fence, Lifetime, import_ranges
from standins._runs import Run
from standins._target_state import TargetSettings, TargetState, read_clock_ms

RANGES = ((10, 20),)


@pytest.fixture
def fence():
    held = Fence()
    held.seal(3)
    held.grant(Lifetime(3, 1, 1000, 1400), RANGES, 1010)
    return held


def test_grant_counts_from_the_clock_reading(fence):
    assert_that(fence.owns(10, 2399), Is(True))
    assert_that(fence.owns(20, 2399), Is(True))
    assert_that(fence.owns(21, 2399), Is(False))
    assert_that(fence.owns(10, 2400), Is(False))
    assert_that(fence.held(2400), Equals(()))


def test_late_renewal_extends_nothing_beyond_its_own_reading(fence):
    fence.renew(Lifetime(3, 1, 1000, 1400), 9000)
    assert_that(fence.owns(10, 9000), Is(False))


@pytest.mark.parametrize(
    'life',
    [
        Lifetime(2, 2, 1000, 1400),
        Lifetime(4, 2, 1000, 1400),
        Lifetime(3, 1, 1000, 1400),
        Lifetime(3, 2, 99_000, 1400),
    ],
)
def test_grant_of_another_term_or_old_sequence_is_refused(fence, life):
    assert_that(fence.grant(life, (), 1100), Is(False))
    assert_that(fence.owns(10, 1100), Is(True))


@pytest.mark.parametrize('sequence', [0, 2])
def test_renewal_of_another_sequence_is_refused(fence, sequence):
    life = Lifetime(3, sequence, 1100, 1400)
    assert_that(fence.renew(life, 1100), Is(False))


def test_seal_keeps_the_ranges_and_shuts_the_old_term_out(fence):
    assert_that(fence.seal(4), Is(True))
    assert_that(fence.seal(3), Is(False))
    assert_that(fence.owns(10, 1100), Is(True))
    assert_that(fence.renew(Lifetime(3, 1, 1100, 1400), 1100), Is(False))
    assert_that(fence.grant(Lifetime(4, 1, 1100, 1400), (), 1100), Is(True))
    assert_that(fence.owns(10, 1100), Is(False))


def test_older_renewal_does_not_shorten_a_newer_one(fence):
    fence.renew(Lifetime(3, 1, 1500, 1400), 1600)
    fence.renew(Lifetime(3, 1, 1200, 1400), 1700)
    assert_that(fence.owns(10, 2899), Is(True))


def test_history_shows_each_stretch_of_ownership(fence):
    fence.renew(Lifetime(3, 1, 1500, 1400), 1600)
    fence.renew(Lifetime(3, 1, 5000, 1400), 5100)
    fence.grant(Lifetime(3, 2, 5200, 1400), (), 5300)
    stretches = [(past.from_ms, past.until_ms) for past in fence.history]
    assert_that(stretches, Equals([(1010, 2900), (5100, 5300)]))


def test_renewed_revocation_does_not_extend_what_was_held_before(fence):
    fence.grant(Lifetime(3, 2, 5000, 1400), (), 5000)
    fence.renew(Lifetime(3, 2, 5100, 1400), 5100)
    fence.renew(Lifetime(3, 2, 5200, 1400), 5200)
    ends = [past['until_ms'] for past in fence.export_history()]
    assert_that(ends, Equals([2400]))


def test_busy_counts_only_work_on_keys_that_are_no_longer_held():
    state = TargetState(TargetSettings('c1', 'catalogue'))
    now_ms = int(read_clock_ms())
    state.fence.seal(1)
    held = import_ranges([['0', '99']])
    state.fence.grant(Lifetime(1, 1, now_ms, 60_000), held, now_ms)
    run = Run(request_id='r', ticket='', echo='', key_hash='50')
    state.running[id(run)] = run
    assert_that(state.busy_released, Equals(0))
    state.fence.grant(Lifetime(1, 2, now_ms, 60_000), (), now_ms)
    assert_that(state.busy_released, Equals(1))
