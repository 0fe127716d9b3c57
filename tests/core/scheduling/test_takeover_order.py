"""What a coordinator that takes over knows of requests that wait.

Each gateway asks it again for the requests that waited at the earlier one.
"""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import AttemptId, Seconds, ServiceName
from laburnumyard.core.scheduling import (
    Outcome,
    Refuse,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
)
from laburnumyard.gateway._coordinator_roles import (
    decode_slot_request,
    encode_slot_request,
)
from laburnumyard.gateway._slot_dispatcher import SlotRequest
from tests.core.scheduling.conftest import BUDGET, make_record, make_work


def test_who_has_waited_longer_goes_first(single_slot_scheduler):
    """Guards against requests that lose their place in a takeover."""
    first = make_work(now=1)
    newer = make_work(now=1)
    older = make_work(now=1)
    older.arrived_at = Seconds(0.9)
    for work in (first, newer, older):
        single_slot_scheduler.submit(work, 1, is_returned=False)
    decisions = single_slot_scheduler.finish(
        first.work_id, RunReport(Outcome.ANSWERED), 1.05
    )
    assert_that(decisions[0].work, Is(older))


def test_who_waited_elsewhere_is_not_counted_behind_newer_ones():
    """Guards against a refusal for a queue that is not ahead."""
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets([make_record('one', slots=1)])
    service.submit(make_work(now=1), 1, is_returned=False)
    newer = [make_work(now=1) for _ in range(8)]
    for work in newer:
        service.submit(work, 1, is_returned=False)
    older = make_work(now=1)
    older.arrived_at = Seconds(0.9)
    decisions = service.submit(older, 1, is_returned=False)
    assert_that([each for each in decisions if each.work is older], Equals([]))
    newest = make_work(now=1)
    refused = service.submit(newest, 1, is_returned=False)
    assert_that(any(isinstance(each, Refuse) for each in refused), Is(True))
    assert_that(any(isinstance(each, Send) for each in refused), Is(False))


def test_a_slot_request_carries_its_wait_and_its_flags():
    slot_request = SlotRequest(
        ServiceName('catalogue'),
        'lookup',
        AttemptId('a-1'),
        1,
        None,
        'lima-a',
        Seconds(0.5),
        Seconds(1.5),
        is_returned=True,
        sends=1,
        waited_s=Seconds(0.25),
    )
    decoded = decode_slot_request(encode_slot_request(slot_request))
    assert_that(decoded, Equals(slot_request))
