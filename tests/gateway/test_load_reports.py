"""Load reports and cost classes on their way to the scheduler."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, MatchesAll

from laburnumyard.core.cost_classes import cost_class
from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    ShardKey,
)
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.scheduling import (
    Outcome,
    RunReport,
    Scheduler,
    SchedulerSettings,
)
from laburnumyard.gateway._coordinator_roles import (
    decode_slot_request,
    encode_slot_request,
)
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher, SlotRequest
from laburnumyard.telemetry import METRICS
from laburnumyard.telemetry._log import DECISION_LOG
from tests.gateway.conftest import (
    SIGNED,
    FakeSlots,
    FakeTarget,
    answer,
    make_request,
    make_router,
    record_at,
)

pytestmark = pytest.mark.anyio
LOAD = 'laburnumyard-instance-load: 3,1,4,250\r\n'
OWN = f'{SIGNED}laburnumyard-attempt-id: attempt-1\r\n'
SERVICE = ServiceName('catalogue')


def make_slot_request(**fields):
    return SlotRequest(
        SERVICE,
        RouteName('benches'),
        AttemptId('attempt-1'),
        1,
        ShardKey(7),
        DataCentre('lima-a'),
        Seconds(0.4),
        Seconds(1),
        **fields,
    )


@pytest.mark.parametrize(
    ('headers', 'load'),
    [
        (f'{OWN}{LOAD}', LoadReport(3, 1, 4, 2.5)),
        (OWN, None),
        (f'{OWN}laburnumyard-instance-load: many\r\n', None),
        (f'{OWN}{LOAD}laburnumyard-instance-id: i-other\r\n', None),
        (f'{SIGNED}{LOAD}', None),
    ],
)
async def test_the_load_that_the_target_of_the_slot_reports(headers, load):
    """A response that may be of another target says nothing of this one."""
    target = FakeTarget(answer(200, 'whole', headers))
    async with target.running():
        slots = FakeSlots(target.address)
        await make_router(slots).serve(make_request())
    assert_that([each.load for each in slots.reports], Equals([load]))


async def test_a_slot_request_has_the_cost_class_of_its_request():
    target = FakeTarget()
    async with target.running():
        slots = FakeSlots(target.address)
        await make_router(slots).serve(make_request(body=b'x' * 900))
    expected = cost_class('POST', '/benches/17', 900, None)
    assert_that(slots.asked[0].cost_class, Equals(expected))


def test_a_slot_request_survives_the_wire():
    asked = make_slot_request(cost_class=cost_class('GET', '/', 0, ShardKey(7)))
    assert_that(decode_slot_request(encode_slot_request(asked)), Equals(asked))


@pytest.fixture
def dispatcher():
    dispatcher = SlotDispatcher(SERVICE, Scheduler(SchedulerSettings()))
    dispatcher.update([record_at('127.0.0.1:1')])
    return dispatcher


def counted(state):
    labels = (('service', SERVICE), ('state', state))
    return METRICS.counters[('load_reports_total', labels)]


async def test_reports_that_are_not_confirmed_are_counted_as_rejected(
    dispatcher,
):
    before = counted('rejected')
    work_id = dispatcher.submit(make_slot_request(), lambda granted: None)
    load = LoadReport(1, 0, 4, 3.0)
    dispatcher.finish(work_id, RunReport(Outcome.ANSWERED, load=load))
    assert_that(counted('rejected') - before, Equals(1))


async def test_reports_that_are_trusted_are_counted_as_used(dispatcher):
    reported = dispatcher.scheduler.times.reported
    reported.regression.squares = 1000
    reported.regression.products = 900
    before = counted('used')
    for _ in range(2):
        work_id = dispatcher.submit(make_slot_request(), lambda granted: None)
        load = LoadReport(1, 0, 4, 3.0)
        dispatcher.finish(work_id, RunReport(Outcome.ANSWERED, load=load))
    assert_that(counted('used') - before, GreaterThan(0))


async def test_a_placement_is_logged_with_what_it_was_chosen_by(dispatcher):
    work_id = dispatcher.submit(make_slot_request(), lambda granted: None)
    load = LoadReport(1, 0, 4, 2.5)
    dispatcher.finish(work_id, RunReport(Outcome.ANSWERED, load=load))
    DECISION_LOG.lines.clear()
    dispatcher.submit(make_slot_request(), lambda granted: None)
    line = DECISION_LOG.lines[-1]
    fields = ('cost_ms=', 'remaining_ms=', 'pace=', 'reported=2.5')
    assert_that(line, MatchesAll(*map(Contains, fields)))


async def test_malformed_reports_are_counted():
    counter = ('load_reports_total', (('state', 'malformed'),))
    before = METRICS.counters[counter]
    head = make_router(FakeSlots()).wire_format.read_response_head(
        200, (('laburnumyard-instance-load', 'many'),)
    )
    assert_that(head.load_report, Is(None))
    assert_that(METRICS.counters[counter] - before, Equals(1))
