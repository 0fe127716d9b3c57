"""Where the rate of cold targets and its bounds come from."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import DataCentre
from laburnumyard.core.scheduling import Scheduler, SchedulerSettings
from laburnumyard.core.target_directory import TargetState
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._derived_settings import cold_rate, derive_settings
from laburnumyard.gateway._slot_acquisition import (
    ASSUMED_GATEWAYS,
    FEW_KNOWN_S,
    Slots,
    _read_grant,
)
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from laburnumyard.gateway._store_session import Session
from laburnumyard.platform._wire_format import PlatformWireFormat
from laburnumyard.schema._generated import messages
from laburnumyard.schema._generated.gateway import BoundSettings, GatewayStore
from tests.platform.conftest import encode_entry

HERE = DataCentre('lima-a')


class FakeElections:
    """Names this gateway."""

    def __init__(self, name):
        self.session = Session(None, None, None, Member(name, '', 1))


def make_local(view, name='lima-a-1'):
    """Return the limiter of a gateway that schedules without a coordinator."""
    bounds = BoundSettings(warmup_overshoot=1.5, warmup_slack=8)
    slots = Slots(
        None, view, FakeElections(name), None, derive_settings(bounds)
    )
    dispatcher = SlotDispatcher('a', Scheduler(SchedulerSettings()))
    return slots, dispatcher


# A gateway that has just started knows few others; 74 that take the fleet for
# four gateways would send 18 times their share.
def test_a_gateway_without_a_coordinator_takes_a_small_share(config):
    view = view_of(config, warmupPerS=7.1)
    slots, dispatcher = make_local(view)
    slots.share_limits('a', dispatcher)
    limiter = dispatcher.scheduler.limiter
    assert_that(limiter.turns_of, Equals('lima-a-1'))
    assert_that(limiter.warm_up_per_s, Equals(7.1))
    assert_that(limiter.cold_share, Equals(1 / ASSUMED_GATEWAYS))
    slots.started_at -= FEW_KNOWN_S
    slots.most_gateways = 74
    # A new coordinator has heard of three so far.
    slots.gateways['a'] = 3
    slots.share_limits('a', dispatcher)
    assert_that(limiter.cold_share, Equals(1 / 74))


# A permit that waited in the sockets of a paused gateway looks new; the time
# counts from the request.
@pytest.mark.parametrize(
    ('waited_ms', 'granted_at'), [(1, 100), (301, 100.3), (0, None)]
)
def test_the_grant_of_a_permit_is_as_old_as_it_may_be(waited_ms, granted_at):
    is_for_cold = bool(waited_ms)
    permit = messages.Permit(1, 'i', 1, '', '', 0, 3, waited_ms, is_for_cold)
    grant = _read_grant(permit, 100)
    assert_that(grant.is_for_cold, Is(True))
    if granted_at is None:
        assert_that(boot_time() - grant.granted_at, LessThan(1))
    else:
        assert_that(grant.granted_at, Equals(granted_at))


# Once its session may have expired, a coordinator may have a successor.
def test_a_coordinator_without_the_store_uses_a_part_of_the_rate():
    session = Session(None, None, GatewayStore(address='127.0.0.1:1'), None)
    assert_that(session.fresh_until, Equals(0))
    session.session_id = 7
    session.confirmed_at = 50
    assert_that(session.fresh_until, Equals(51.5))


def view_of(config, **fields):
    decoded = PlatformWireFormat().decode_routes(with_warm_up(config, **fields))
    view = ClusterView()
    view.adopt_routes(decoded.ok)
    return view


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
