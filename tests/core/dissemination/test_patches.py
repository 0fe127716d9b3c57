import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from bench.control.store import make_document, read_head
from laburnumyard.core.dissemination import DocumentName
from laburnumyard.core.dissemination._patches import PatchApplier, make_patch
from laburnumyard.schema._generated import messages

NAME = DocumentName('assignment/orders')
CHUNKS = 100
LIMIT = 1 << 22


def chunk_of(number, moved=False):
    """Return a chunk of 256 ranges, one of which may have moved."""
    ranges = tuple(
        messages.OwnedRange(
            start=(number * 256 + place) << 40,
            last=((number * 256 + place + 1) << 40) - 1,
            target=f'orders-{"new" if moved and place == 7 else place % 9}',
        )
        for place in range(256)
    )
    return messages.encode_assignment(
        messages.Assignment(service='orders', ranges=ranges),
    )


@pytest.fixture(scope='module')
def contents():
    return tuple(map(chunk_of, range(CHUNKS)))


@pytest.fixture(scope='module')
def old(contents):
    return make_document(NAME, 1, contents)


@pytest.fixture(scope='module')
def new(contents):
    changed = (*contents[:40], chunk_of(40, moved=True), *contents[41:])
    return make_document(NAME, 2, changed)


@pytest.fixture
def applier():
    return PatchApplier(read_head, LIMIT)


def test_patch_leads_from_one_version_to_the_next(old, new, applier):
    patch = make_patch(old, new)
    assert_that(applier.apply(NAME, old, patch), Equals(new))


def test_patch_from_nothing_is_the_whole_document(new, applier):
    patch = make_patch(None, new)
    assert_that(applier.apply(NAME, None, patch), Equals(new))


def test_move_of_one_range_travels_in_less_than_a_kilobyte(old, new):
    assert_that(len(make_patch(old, new)), LessThan(1024))


def test_patch_on_the_wrong_base_is_refused(old, new, contents, applier):
    other = make_document(NAME, 1, contents[:50])
    with pytest.raises(ValueError, match=r'lacks chunk|damaged'):
        applier.apply(NAME, other, make_patch(old, new))


def test_patch_that_grows_over_the_limit_is_refused(applier):
    bomb = make_document(NAME, 1, (b'\0' * (LIMIT + 1),))
    with pytest.raises(ValueError, match='over'):
        applier.apply(NAME, None, make_patch(None, bomb))


@pytest.mark.parametrize('seed', range(3))
def test_changed_bytes_are_refused_or_harmless(old, new, applier, seed):
    draw = random.Random(seed)
    whole = make_patch(old, new)
    refused = 0
    for _ in range(200):
        changed = bytearray(whole)
        changed[draw.randrange(len(changed))] ^= 1 << draw.randrange(8)
        try:
            document = applier.apply(NAME, old, bytes(changed))
        except ValueError:
            refused += 1
        else:
            assert_that(document.chunks == new.chunks, Is(True))
    assert_that(refused > 100, Is(True))
