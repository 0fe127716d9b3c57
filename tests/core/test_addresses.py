import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.core.addresses import conflicts, find_address_remedy


def test_a_sound_address_has_no_fault():
    assert_that(find_address_remedy('10.0.0.1:7000'), Equals(''))


@pytest.mark.parametrize(
    'address, remedy',
    [
        ('localhost:80', 'IP number and a port'),
        ('10.0.0.1', 'IP number and a port'),
        ('10.0.0:80', 'IP number'),
        ('10.0.0.256:80', 'IP number'),
        ('10.0.0.1:0', 'port from 1'),
        ('10.0.0.1:65536', 'port from 1'),
    ],
)
def test_impossible_addresses(address, remedy):
    assert_that(find_address_remedy(address), Contains(remedy))


def test_listening_on_all_hosts_clashes_with_one():
    assert_that(conflicts('0.0.0.0:1', '10.0.0.1:1'), Is(True))
    assert_that(conflicts('10.0.0.2:1', '10.0.0.1:1'), Is(False))
    assert_that(conflicts('0.0.0.0:1', '10.0.0.1:2'), Is(False))
