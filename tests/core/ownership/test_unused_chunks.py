"""Selection of the unused chunks to delete."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core import ownership
from laburnumyard.core.ownership._unused_chunks import (
    MAX_DELETED,
    UNUSED_CHUNK_RETENTION_S,
)

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
    assert_that(unused.select_deletable(listed, snapshot, 0), Equals(()))
    assert_that(
        unused.select_deletable(listed, snapshot, UNUSED_CHUNK_RETENTION_S - 1),
        Equals(()),
    )
    given_up = unused.select_deletable(
        listed, snapshot, UNUSED_CHUNK_RETENTION_S
    )
    assert_that(given_up, Equals((chunk(),)))


@pytest.mark.parametrize('revision', [HEAD_REVISION, HEAD_REVISION + 1])
def test_a_chunk_written_after_the_head_is_kept(unused, snapshot, revision):
    listed = (chunk(revision=revision),)
    for moment in range(10):
        seen = unused.select_deletable(
            listed, snapshot, moment * UNUSED_CHUNK_RETENTION_S
        )
        assert_that(seen, Equals(()))


def test_a_chunk_that_is_written_again_is_seen_anew(unused, snapshot):
    unused.select_deletable((chunk(revision=2),), snapshot, 0)
    again = (chunk(revision=3),)
    assert_that(
        unused.select_deletable(again, snapshot, UNUSED_CHUNK_RETENTION_S),
        Equals(()),
    )
    later = unused.select_deletable(
        again, snapshot, 2 * UNUSED_CHUNK_RETENTION_S
    )
    assert_that(later, Equals(again))


def test_a_chunk_that_is_used_for_a_while_is_seen_anew(unused, snapshot):
    unused.select_deletable((chunk(),), snapshot, 0)
    unused.select_deletable((chunk(),), make_snapshot(UNUSED), 1)
    assert_that(
        unused.select_deletable((chunk(),), snapshot, UNUSED_CHUNK_RETENTION_S),
        Equals(()),
    )


def test_one_look_gives_up_a_bounded_number_the_oldest_first(unused, snapshot):
    listed = tuple(
        chunk(f'{number:064x}', HEAD_REVISION - 1) for number in range(40)
    )
    unused.select_deletable(listed[-1:], snapshot, 0)
    unused.select_deletable(listed, snapshot, 1)
    given_up = unused.select_deletable(
        listed, snapshot, 2 * UNUSED_CHUNK_RETENTION_S
    )
    assert_that(len(given_up), Equals(MAX_DELETED))
    assert_that(given_up[0], Equals(listed[-1]))


def test_chunks_that_are_gone_are_forgotten(unused, snapshot):
    unused.select_deletable((chunk(),), snapshot, 0)
    unused.select_deletable((), snapshot, 1)
    assert_that(unused.unused_since, Equals({}))
