import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.platform._route_decoding import read_routes


def configuration(route_type):
    return {
        'version': 'r1',
        'routes': [
            {
                'name': 'r-1',
                'host': 'shop.example',
                'prefix': '/files/',
                'routeType': route_type,
                'timeoutMs': 1000,
                'sloMs': 500,
                'priority': 1,
                'service': 'catalogue',
                'maxAttempts': 2,
            },
        ],
        'services': [],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
    }


# A download is not sent a second time, or a route of another type is.
@pytest.mark.parametrize(
    ('route_type', 'is_repeatable'),
    [('safe', True), ('download', True), ('unsafe', False), ('other', False)],
)
def test_the_type_of_a_route_says_whether_requests_may_be_repeated(
    route_type, is_repeatable
):
    table = read_routes(configuration(route_type))
    assert_that(table.routes[0].is_repeatable, Equals(is_repeatable))
