import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.key_hashing import (
    HASH_SPACE,
    HashRange,
    covers,
    hash_key,
    split_evenly,
)

WHOLE = HashRange(0, HASH_SPACE)


def test_hash_is_stable_across_releases():
    assert_that(hash_key('bench-17'), Equals(hash_key('bench-17')))
    assert_that(hash_key('bench-17') in WHOLE, Is(True))


@pytest.mark.parametrize('parts', [1, 3, 7, 64])
def test_split_covers_the_whole(parts):
    assert_that(covers(WHOLE, split_evenly(WHOLE, parts)), Is(True))


@pytest.mark.parametrize('bounds', [(5, 5), (-1, 3), (0, HASH_SPACE + 1)])
def test_impossible_ranges_are_refused(bounds):
    with pytest.raises(ValueError, match='hash range'):
        HashRange(*bounds)
