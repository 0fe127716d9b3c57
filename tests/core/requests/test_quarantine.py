import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.quarantine import (
    QUARANTINE_TIME_S,
    SUSPECTS_LIMIT,
)

POISON = requests.fingerprint_of('orders', 'POST', '/orders/x', 'k', b'{}')


@pytest.fixture
def quarantine():
    return requests.Quarantine()


def test_request_is_refused_after_the_second_death(quarantine):
    quarantine.note_death('orders-1@1', [POISON], 0)
    assert_that(quarantine.refusal(POISON, 1), Is(None))
    quarantine.note_death('orders-2@1', [POISON], 2)
    failure = quarantine.refusal(POISON, 3)
    assert_that(failure.kind, Equals(ErrorKind.QUARANTINED))


def test_quarantine_ends(quarantine):
    quarantine.note_death('orders-1@1', [POISON], 0)
    quarantine.note_death('orders-2@1', [POISON], 2)
    after = 2 + QUARANTINE_TIME_S
    assert_that(quarantine.refusal(POISON, after), Is(None))


def test_one_death_that_two_daemons_saw_counts_once(quarantine):
    peer = requests.Quarantine()
    quarantine.note_death('orders-1@1', [POISON], 0)
    quarantine.merge(peer.note_death('orders-1@1', [POISON], 50), 1)
    assert_that(quarantine.refusal(POISON, 1), Is(None))


def test_peers_add_up_their_deaths(quarantine):
    peer = requests.Quarantine()
    quarantine.merge(peer.note_death('orders-1@1', [POISON], 50), 0)
    suspects = quarantine.note_death('orders-2@1', [POISON], 1)
    peer.merge(suspects, 51)
    for daemon, now in ((quarantine, 2), (peer, 52)):
        kind = daemon.refusal(POISON, now).kind
        assert_that(kind, Equals(ErrorKind.QUARANTINED))


def test_merges_in_any_order_agree():
    deaths = [
        requests.Suspect(POISON, frozenset((name,)), 100.0)
        for name in ('a', 'b')
    ]
    one, other = requests.Quarantine(), requests.Quarantine()
    one.merge(deaths, 0)
    other.merge((*reversed(deaths), *deaths), 0)
    assert_that(one.suspects(0), Equals(other.suspects(0)))


def test_passing_a_record_to_and_fro_does_not_keep_it_alive(quarantine):
    peer = requests.Quarantine()
    quarantine.note_death('orders-1@1', [POISON], 0)
    for now in range(1000):
        peer.merge(quarantine.suspects(now), now + 0.5)
        quarantine.merge(peer.suspects(now + 0.5), now + 0.9)
    assert_that(quarantine.suspects(1000), HasLength(0))


def test_memory_is_bounded(quarantine):
    for number in range(5000):
        quarantine.note_death('a', [number.to_bytes(16, 'big')], number / 100)
    assert_that(quarantine.records, HasLength(SUSPECTS_LIMIT))


def test_fingerprint_keeps_the_parts_apart():
    one = requests.fingerprint_of('ab', 'c', '', '', b'')
    other = requests.fingerprint_of('a', 'bc', '', '', b'')
    assert_that(one == other, Is(False))


def test_request_that_was_answered_since_is_no_longer_suspected(quarantine):
    quarantine.note_death('orders-1@1', [POISON], 0)
    quarantine.clear_suspicion(POISON)
    quarantine.note_death('orders-2@1', [POISON], 2)
    assert_that(quarantine.refusal(POISON, 3), Is(None))
    assert_that(quarantine.is_suspect(POISON, 3), Is(True))


MINE, OTHERS = 'catalogue-1/vm-1/x', 'catalogue-1/vm-2/a'
BOTH = ((MINE, OTHERS), (OTHERS, MINE))


@pytest.mark.parametrize(('mine', 'other'), BOTH)
def test_death_that_two_daemons_named_counts_once(mine, other):
    """Each daemon detected it before it received the other's record."""
    one, peer = requests.Quarantine(), requests.Quarantine()
    own_suspects = one.note_death(mine, [POISON], 0)
    peer_suspects = peer.note_death(other, [POISON], 50.1)
    peer.merge(own_suspects, 50.2)
    one.merge(peer_suspects, 0.2)
    third = requests.Quarantine()
    third.merge((*own_suspects, *peer_suspects), 7)
    for daemon, now in ((one, 1), (peer, 51), (third, 8)):
        assert_that(daemon.refusal(POISON, now), Is(None))
        known = daemon.suspects(now)
        assert_that(known[0].deaths, Equals(frozenset((MINE,))))


def test_next_death_of_the_same_target_counts(quarantine):
    """A daemon distinguishes two deaths however close they are in time."""
    for number in range(2):
        death = f'catalogue-1/vm-1/{number}'
        quarantine.note_death(death, [POISON], number * 0.6)
    failure = quarantine.refusal(POISON, 2)
    assert_that(failure.kind, Equals(ErrorKind.QUARANTINED))


def test_deaths_of_two_targets_at_once_count_twice(quarantine):
    quarantine.note_death('catalogue-1/vm-1/x', [POISON], 0)
    quarantine.note_death('catalogue-2/vm-1/x', [POISON], 0)
    failure = quarantine.refusal(POISON, 0)
    assert_that(failure.kind, Equals(ErrorKind.QUARANTINED))
