from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.configuration import is_token_of
from laburnumyard.core.configuration._index import hash_position
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange, covers

WHOLE = HashRange(0, HASH_SPACE)


def test_spans_cover_the_hash_space(configuration):
    spans = configuration.spans['catalogue']
    ranges = [span.hash_range for span in spans]
    assert_that(covers(WHOLE, ranges), Is(True))


def test_a_key_has_one_span(configuration):
    border = configuration.spans['catalogue'][1].hash_range.start
    before = configuration.span_of('catalogue', border - 1)
    after = configuration.span_of('catalogue', border)
    assert_that((before.name, after.name), Equals(('low', 'high')))


def test_customers_without_a_share_have_the_common_class(configuration):
    paid = configuration.class_of('catalogue', 'clinic')
    common = configuration.class_of('catalogue', 'stranger')
    assert_that((paid.name, common.name), Equals(('urgent', 'common')))


def test_targets_of_a_service(configuration):
    found = configuration.service_targets('catalogue')
    names = [target.name for target in found]
    assert_that(names, Equals(['catalogue-1', 'catalogue-2']))


@settings(derandomize=True, deadline=None)
@given(st.floats(0, 1))
def test_every_fraction_has_a_place(fraction):
    assert_that(0 <= hash_position(fraction) <= HASH_SPACE, Is(True))


def test_tokens_are_compared_by_their_hash():
    empty = 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855'
    assert_that(is_token_of('', empty), Is(True))
    assert_that(is_token_of('x', empty), Is(False))
    assert_that(is_token_of('', ''), Is(False))
    assert_that(is_token_of('\udcff', empty), Is(False))
