"""Where the rate of cold targets and its bounds come from."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from laburnumyard.core.ids import DataCentre
from laburnumyard.core.target_directory import TargetState
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._derived_settings import cold_rate, derive_settings
from laburnumyard.platform._wire_format import PlatformWireFormat
from laburnumyard.schema._generated.gateway import BoundSettings
from tests.platform.conftest import encode_entry

HERE = DataCentre('lima-a')


def with_warm_up(config, **fields):
    document = json.loads(config)
    document['services'][0].update(fields)
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    ('fields', 'rate'),
    [
        ({}, 0),
        ({'warmupPerS': 0}, 0),
        ({'warmupPerS': None}, 0),
        ({'warmupPerS': 7.1, 'warmupS': 9}, 7.1),
    ],
)
def test_the_rate_of_cold_targets_comes_from_the_configuration(
    config, fields, rate
):
    decoded = PlatformWireFormat().decode_routes(with_warm_up(config, **fields))
    view = ClusterView()
    view.adopt_routes(decoded.ok)
    for bounds in ({}, {'warmup_overshoot': 1.5, 'warmup_slack': 8}):
        settings = derive_settings(BoundSettings(**bounds))
        assert_that(cold_rate(view, 'a', settings), Equals(rate))
        assert_that(cold_rate(view, 'unknown', settings), Equals(0))


def test_bounds_that_are_absent_do_not_apply():
    settings = derive_settings(BoundSettings())
    assert_that(settings.warm_up_bound, Is(None))
    assert_that(settings.grant_life_s, Is(None))
    bounded = derive_settings(BoundSettings(evacuate_ms=5000))
    assert_that(bounded.grant_life_s, Equals(2))


def test_the_end_of_an_evacuation_counts_as_a_cold_start(config):
    document = with_warm_up(config, warmupS=9)
    view = ClusterView()
    view.adopt_routes(PlatformWireFormat().decode_routes(document).ok)
    entry = encode_entry(warmupLeftMs=0)
    record = PlatformWireFormat().decode_target('servers/a', entry).ok
    view.adopt_directory({record.target: record})
    view.begin_evacuation(HERE)
    assert_that(view.directory['a'].state, Is(TargetState.EVACUATED))
    view.end_evacuation(HERE, 5, 100)
    assert_that(view.directory['a'].cold_until, GreaterThan(108.9))
