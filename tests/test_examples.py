from pathlib import Path
from types import MappingProxyType

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.core.configuration import is_token_of, parse_objects
from laburnumyard.core.settings import load_settings
from laburnumyard.schema._generated.objects import Fencing

EXAMPLES = Path(__file__).parent.parent / 'examples'
DATA_CENTRES = 3
# Service, workers, slots and connections of the brief's sizes of today.
SIZES = MappingProxyType(
    {
        'lima': (
            ('catalogue', 9, 3, 110),
            ('orders', 6, 3, 110),
            ('production', 9, 3, 110),
        ),
        'kigali': (
            ('stock', 11, 2, 40),
            ('forge', 6, 2, 40),
            ('ledger', 10, 2, 40),
        ),
    }
)


@pytest.fixture(params=sorted(SIZES))
def place(request):
    return request.param


@pytest.fixture
def configuration(place):
    paths = (EXAMPLES / place / 'objects').glob('*.toml')
    parsed = parse_objects({path.name: path.read_text() for path in paths})
    assert_that(parsed.swap().default_value(()), Equals(()))
    return parsed.ok


@pytest.fixture
def settings(place):
    paths = sorted((EXAMPLES / place / 'daemons').glob('*.toml'))
    assert_that(paths, HasLength(DATA_CENTRES))
    return [load_settings(path.read_text(), path.name).ok for path in paths]


def test_the_sizes_are_those_of_the_brief(place, configuration):
    found = []
    for service in configuration.services:
        targets = configuration.service_targets(service)
        slots = {target.slots for target in targets}
        connections = {target.connections for target in targets}
        found.append((service, len(targets), *slots, *connections))
    assert_that(sorted(found), Equals(sorted(SIZES[place])))


def test_targets_are_spread_over_the_daemons_data_centres(
    settings,
    configuration,
):
    expected = {daemon.daemon.data_centre for daemon in settings}
    for service in configuration.services:
        targets = configuration.service_targets(service)
        found = {target.data_centre for target in targets}
        assert_that(found, Equals(expected))


def test_daemons_agree_on_their_timing(settings):
    first = settings[0].timing
    for daemon in settings:
        assert_that(daemon.timing, Equals(first))


def test_one_service_has_targets_without_fencing(configuration):
    found = {
        target.service
        for target in configuration.targets.values()
        if target.fencing is Fencing.none
    }
    assert_that(found, HasLength(1))


def test_reports_and_receipts_may_wait(configuration):
    deferred = [
        customer.name
        for customer in configuration.customers.values()
        for share in customer.shares
        if configuration.classes[share.priority_class].deferrable
    ]
    assert_that(deferred, HasLength(1))


def test_example_tokens_fit(settings, configuration):
    for name, customer in configuration.customers.items():
        fits = is_token_of(f'example-token-{name}', customer.token_sha256)
        assert_that(fits, Is(True))
    for daemon in settings:
        token = daemon.admin.token_sha256
        assert_that(is_token_of('example-token-operators', token), Is(True))
