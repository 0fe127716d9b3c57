from types import SimpleNamespace

import pytest
from loguru import logger
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.clients import Vm, VmState
from laburnumyard.core import ownership
from laburnumyard.core.ids import Incarnation
from laburnumyard.core.ownership._target_lease import TargetLease
from laburnumyard.daemon._lease_orders import LeaseOrderSender
from laburnumyard.daemon._leaving_targets import LeavingTargetTracker
from laburnumyard.daemon._scope_id import ScopeId
from laburnumyard.daemon._scope_runner import ScopeRunner
from standins._serve import serving
from standins.target import TargetApp, TargetSettings
from tests.daemon.daemon_fixtures import FixedView, configuration, make_settings

LATER = float('inf')
LEAVING = ownership.TargetLeaving('c1')


def seal(target='c1'):
    return ownership.SendSeal(
        target=target, guard=None, call=1, term=1, not_after=LATER
    )


def vm(name='c1', state=VmState.LEAVING, peer_address=''):
    return Vm(name, 'lima-a', 'lima', peer_address, state)


@pytest.fixture
def target_app():
    return TargetApp(TargetSettings('c1', 'catalogue'))


@pytest.fixture
async def view(target_app):
    cluster_view = FixedView(make_settings(), Incarnation(1), None)
    async with serving(target_app) as address:
        cluster_view.configuration = configuration(address)
        yield cluster_view


@pytest.fixture
def log_lines():
    """Collect log lines as they are written."""
    lines = []
    sink = logger.add(lines.append)
    yield lines
    logger.remove(sink)


@pytest.fixture
def reported():
    return []


@pytest.fixture
def watch(view, reported):
    return LeavingTargetTracker(view, reported.append)


@pytest.fixture
def orders(view, watch):
    sender = LeaseOrderSender(
        'catalogue', view, None, None, watch.record_answer
    )
    yield sender
    sender.close()


@pytest.mark.anyio
async def test_an_answer_to_an_order_tells_who_is_leaving(
    orders, target_app, reported, log_lines
):
    answer = await orders.seal(seal())
    assert_that((answer.accepted, reported), Equals((True, [])))
    target_app.state.is_leaving = True
    answer = await orders.seal(seal())
    await orders.seal(seal())
    assert_that((answer.accepted, reported), Equals((True, [LEAVING])))
    assert_that(''.join(log_lines), Contains('reason=target'))


@pytest.mark.anyio
async def test_one_that_gets_no_orders_is_asked(orders, target_app, reported):
    await orders.poll_leaving('c1')
    assert_that(reported, Equals([]))
    target_app.state.is_leaving = True
    await orders.poll_leaving('c1')
    await orders.poll_leaving('unknown')
    assert_that(reported, Equals([LEAVING]))


@pytest.mark.anyio
async def test_one_that_cannot_be_asked_changes_nothing(
    orders, target_app, reported
):
    target_app.state.is_leaving = True
    orders.view.configuration = configuration('127.0.0.1:19')
    await orders.poll_leaving('c1')
    assert_that(await orders.seal(seal()), Is(None))
    assert_that(reported, Equals([]))


@pytest.mark.anyio
async def test_the_list_tells_who_is_leaving(watch, reported, log_lines):
    watch.record_vms((vm(state=VmState.LIVE),))
    assert_that(reported, Equals([]))
    for _ in range(3):
        watch.record_vms((vm(),))
    assert_that(reported, Equals([LEAVING]))
    assert_that(''.join(log_lines), Contains('reason=vm-list'))


@pytest.mark.anyio
async def test_rows_of_daemons_and_of_unknown_vms_name_no_target(
    watch, reported
):
    watch.record_vms((vm(peer_address='127.0.0.1:9'), vm('unknown'), vm('')))
    assert_that(reported, Equals([]))
    assert_that(watch.reports.leaving, Equals(()))


@pytest.mark.anyio
async def test_a_target_is_gone_from_when_its_row_is_until_it_returns(watch):
    watch.record_vms(())
    assert_that(watch.gone, Equals(frozenset()))
    watch.record_vms((vm(),))
    for _ in range(2):
        watch.record_vms((vm('unknown'),))
        assert_that(watch.gone, Equals({'c1'}))
    watch.record_vms((vm(),))
    assert_that(watch.gone, Equals(frozenset()))


def lease(name, is_sealed):
    kind = ownership.FencedTarget('lima-a')
    return TargetLease(name, kind, None, LATER, sealed=is_sealed)


class RecordingManager:
    """Holds the given leases and records the events it receives."""

    def __init__(self, *leases):
        self.state = SimpleNamespace(leases={one.name: one for one in leases})
        self.is_idle = True
        self.events = []

    def handle(self, event, now):
        self.events.append(event)
        return []


def test_only_a_target_that_has_not_answered_is_believed_to_be_gone():
    manager = RecordingManager(
        lease('c1', is_sealed=False),
        lease('c2', is_sealed=True),
        lease('c3', is_sealed=False),
    )
    runner = ScopeRunner(ScopeId('catalogue', 'lima-a'), manager, None)
    runner.report_gone_targets({'c1', 'c2', 'unknown'})
    assert_that(manager.events, Equals([ownership.TargetGone('c1')]))


@pytest.mark.anyio
async def test_a_target_that_leaves_the_configuration_is_forgotten(
    watch, reported
):
    watch.record_vms((vm(),))
    watch.expire_reports()
    assert_that(reported, Equals([LEAVING]))
    watch.view.configuration = None
    watch.expire_reports()
    stays = ownership.TargetLeaving('c1', is_leaving=False)
    assert_that(reported, Equals([LEAVING, stays]))
