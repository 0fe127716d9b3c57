"""Selection of the unused chunks to delete."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core import ownership
from laburnumyard.core.ownership._collecting import KEPT_FOR, MAX_DELETED

USED = 'a' * 64
UNUSED = 'b' * 64
HEAD_REVISION = 10


@pytest.fixture
def unused():
    return ownership.UnusedChunks()


@pytest.fixture
def snapshot():
    return make_snapshot(USED)


def make_snapshot(*digests, revision=HEAD_REVISION):
    head = ownership.Head(version=1, change='change', chunks=digests)
    return ownership.Snapshot(head, None, revision)


def chunk(digest=UNUSED, revision=HEAD_REVISION - 1):
    return ownership.StoredChunk(digest, revision)


def test_an_unused_chunk_is_given_up_after_it_was_seen_for_long(
    unused,
    snapshot,
):
    listed = (chunk(), chunk(USED))
    assert_that(unused.look(listed, snapshot, 0), Equals(()))
    assert_that(unused.look(listed, snapshot, KEPT_FOR - 1), Equals(()))
    given_up = unused.look(listed, snapshot, KEPT_FOR)
    assert_that(given_up, Equals((chunk(),)))


@pytest.mark.parametrize('revision', [HEAD_REVISION, HEAD_REVISION + 1])
def test_a_chunk_written_after_the_head_is_kept(unused, snapshot, revision):
    listed = (chunk(revision=revision),)
    for moment in range(10):
        seen = unused.look(listed, snapshot, moment * KEPT_FOR)
        assert_that(seen, Equals(()))


def test_a_chunk_that_is_written_again_is_seen_anew(unused, snapshot):
    unused.look((chunk(revision=2),), snapshot, 0)
    again = (chunk(revision=3),)
    assert_that(unused.look(again, snapshot, KEPT_FOR), Equals(()))
    later = unused.look(again, snapshot, 2 * KEPT_FOR)
    assert_that(later, Equals(again))


def test_a_chunk_that_is_used_for_a_while_is_seen_anew(unused, snapshot):
    unused.look((chunk(),), snapshot, 0)
    unused.look((chunk(),), make_snapshot(UNUSED), 1)
    assert_that(unused.look((chunk(),), snapshot, KEPT_FOR), Equals(()))


def test_one_look_gives_up_a_bounded_number_the_oldest_first(unused, snapshot):
    listed = tuple(
        chunk(f'{number:064x}', HEAD_REVISION - 1) for number in range(40)
    )
    unused.look(listed[-1:], snapshot, 0)
    unused.look(listed, snapshot, 1)
    given_up = unused.look(listed, snapshot, 2 * KEPT_FOR)
    assert_that(len(given_up), Equals(MAX_DELETED))
    assert_that(given_up[0], Equals(listed[-1]))


def test_chunks_that_are_gone_are_forgotten(unused, snapshot):
    unused.look((chunk(),), snapshot, 0)
    unused.look((), snapshot, 1)
    assert_that(unused.unused_since, Equals({}))
