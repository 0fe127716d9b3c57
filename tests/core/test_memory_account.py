import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.core.memory_account import (
    BASE_BYTES,
    BYTES_PER_MB,
    CONNECTION_BYTES,
    SMALL_BYTES,
    Holder,
    MemoryAccount,
    MemoryClaim,
    account_of,
    choose_cut,
)

LIMIT = 1_000_000
RESERVED = 125_000
NOW = 100.0


@pytest.fixture
def account():
    return MemoryAccount(LIMIT)


def claim_of(account, size, progress=0, is_forwarded=False):
    claim = MemoryClaim(account)
    assert_that(claim.draw(Holder.BODIES, size), Is(True))
    claim.note_progress(progress, NOW)
    claim.is_forwarded = is_forwarded
    return claim


# A process without the setting refuses something.
def test_an_account_without_a_limit_holds_anything():
    account = account_of(0)
    assert_that(account.draw(Holder.BODIES, 10**15, is_small=False), Is(True))
    assert_that(account.share_bytes, Equals(math.inf))


# The account of a small machine leaves no room for the idle process, or none
# for one body of the largest size that the users allow.
@pytest.mark.parametrize('memory_mb', [160, 300, 552])
def test_an_account_leaves_room_for_the_process_and_one_body(memory_mb):
    account = account_of(memory_mb)
    memory = memory_mb * BYTES_PER_MB
    assert_that(account.limit_bytes, LessThan(memory - BASE_BYTES + 1))
    assert_that(account.fits(67_108_864, is_small=False), Is(True))


# Large requests leave nothing for ordinary small ones.
def test_large_requests_leave_the_reserved_part(account):
    is_held = account.draw(Holder.BODIES, LIMIT - RESERVED, is_small=False)
    assert_that(is_held, Is(True))
    assert_that(account.draw(Holder.BODIES, 1, is_small=False), Is(False))
    is_held = account.draw(Holder.REQUESTS, RESERVED, is_small=True)
    assert_that(is_held, Is(True))
    assert_that(account.draw(Holder.REQUESTS, 1, is_small=True), Is(False))


# A claim that grows keeps to the small part although it is no longer small.
def test_a_claim_that_grows_leaves_the_reserved_part(account):
    account.draw(Holder.BODIES, LIMIT - RESERVED, is_small=False)
    claim = MemoryClaim(account)
    assert_that(claim.draw(Holder.BODIES, SMALL_BYTES), Is(True))
    assert_that(claim.draw(Holder.BODIES, 1), Is(False))


# What is given back is counted for ever, or twice.
def test_a_closed_claim_gives_back_everything_once(account):
    claim = claim_of(account, 5000)
    claim.draw(Holder.HEADS, 300)
    claim.give_back(Holder.BODIES, 1000)
    assert_that(account.used_bytes, Equals(4300))
    claim.close()
    claim.give_back(Holder.HEADS, 300)
    assert_that(account.used_bytes, Equals(0))
    assert_that(set(account.held.values()), Equals({0}))
    assert_that(claim.draw(Holder.HEADS, 1), Is(False))


# Room that was made isn't used, or is not made again while it is too little.
def test_a_full_account_makes_room_until_the_bytes_fit(account):
    claims = [claim_of(account, 400_000) for _ in range(2)]

    def make_room():
        if not claims:
            return False
        claims.pop().close()
        return True

    account.make_room = make_room
    assert_that(account.draw(Holder.BODIES, 800_000, is_small=False), Is(True))
    assert_that(account.used_bytes, Equals(800_000))
    assert_that(account.draw(Holder.BODIES, 800_000, is_small=False), Is(False))


# A connection that is cut to make room for itself keeps its new bytes.
def test_a_claim_that_is_cut_for_itself_gets_nothing(account):
    claim = claim_of(account, 800_000)

    def make_room():
        claim.close()
        return True

    account.make_room = make_room
    assert_that(claim.draw(Holder.BODIES, 100_000), Is(False))
    assert_that(account.used_bytes, Equals(0))


# A caller that goes on is cut before one that has stopped.
def test_the_least_progress_for_its_bytes_is_cut_first(account):
    moving = claim_of(account, 300_000, progress=300_000)
    stalled = claim_of(account, 300_000)
    small = claim_of(account, 20_000)
    assert_that(choose_cut([moving, stalled, small], NOW), Is(stalled))


# A caller that was quick long ago is spared for that.
def test_old_progress_counts_less(account):
    old = claim_of(account, 100_000, progress=800_000)
    recent = claim_of(account, 100_000)
    recent.note_progress(100_000, NOW + 10)
    assert_that(choose_cut([recent, old], NOW + 10), Is(old))
    assert_that(old.recent_progress(NOW + 10), LessThan(1000))
    assert_that(old.recent_progress(NOW), GreaterThan(799_999))


# A request that runs at a target is cut before one that could be refused.
def test_forwarded_requests_are_cut_last(account):
    forwarded = claim_of(account, 500_000, is_forwarded=True)
    waiting = claim_of(account, 30_000, progress=30_000)
    assert_that(choose_cut([forwarded, waiting], NOW), Is(waiting))
    waiting.close()
    assert_that(choose_cut([forwarded, waiting], NOW), Is(forwarded))


# Connections that hold nothing are cut, which makes no room.
def test_idle_connections_are_not_cut(account):
    idle = [claim_of(account, CONNECTION_BYTES) for _ in range(3)]
    assert_that(choose_cut(idle, NOW), Is(None))
