import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import Version
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.schema._generated.messages import Assignment, OwnedRange


@pytest.fixture
def table():
    ranges = (OwnedRange(50, 99, 'second'), OwnedRange(10, 49, 'first'))
    return RoutingTable(Assignment('catalogue', ranges), Version(3))


@pytest.mark.parametrize(
    ('key_hash', 'owner'),
    [
        (9, None),
        (10, 'first'),
        (49, 'first'),
        (50, 'second'),
        (99, 'second'),
        (100, None),
    ],
)
def test_owner_is_found_at_the_edges(table, key_hash, owner):
    assert_that(table.owner(key_hash), Equals(owner))
