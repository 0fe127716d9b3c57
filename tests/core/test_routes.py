from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import RouteName, Seconds, ServiceName
from laburnumyard.core.routes import (
    Route,
    RouteShare,
    RouteTable,
    WeightedServiceChooser,
)


def make_route(name, prefix, *weights):
    parts = tuple(
        RouteShare(ServiceName(f'service-{number}'), weight)
        for number, weight in enumerate(weights or (1,))
    )
    return Route(
        RouteName(name),
        'shop.example',
        prefix,
        parts,
        True,
        Seconds(1.0),
        Seconds(0.5),
        0,
        2,
    )


@pytest.fixture
def table():
    routes = (make_route('short', '/a/'), make_route('long', '/a/b/'))
    return RouteTable(1, routes, {})


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('shop.example', '/a/x', 'short'),
        ('shop.example', '/a/b/x', 'long'),
        ('SHOP.example:80', '/a/b/', 'long'),
        # DENIED: the dot of the DNS root matched no route.
        ('shop.example.', '/a/x', 'short'),
        ('shop.example.:80', '/a/x', 'short'),
        ('shop.example', '/a/bc', 'short'),
    ],
)
def test_longest_prefix_of_the_host_is_found(table, host, path, name):
    assert_that(table.find(host, path).name, Equals(name))


@pytest.mark.parametrize(
    ('host', 'path'),
    [('shop.example', '/a'), ('shop.example', '/c/'), ('other', '/a/x')],
)
def test_no_route_without_host_and_prefix(table, host, path):
    assert_that(table.find(host, path), Is(None))


@pytest.mark.parametrize('count', [1, 10, 97])
def test_shares_of_a_split_hold_over_any_stretch(count):
    chooser = WeightedServiceChooser()
    route = make_route('split', '/a/', 90, 10)
    chosen = Counter(chooser.choose(route) for _ in range(count))
    assert_that(abs(chosen['service-1'] - count * 0.1) < 1, Is(True))


def test_a_split_that_changes_starts_anew():
    chooser = WeightedServiceChooser()
    chooser.choose(make_route('split', '/a/', 90, 10))
    chosen = chooser.choose(make_route('split', '/a/', 1, 1, 8))
    assert_that(chosen, Equals('service-2'))
