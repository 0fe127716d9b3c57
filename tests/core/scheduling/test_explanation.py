import io
import pickle
import random
from weakref import WeakKeyDictionary

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.admission import AdmissionReason
from laburnumyard.core.ids import (
    FencingToken,
    RouteName,
    Seconds,
    ShardKey,
    TargetId,
)
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import LimitKind, LimitStatement
from laburnumyard.core.scheduling import (
    Outcome,
    Refusal,
    Refuse,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
    Verdict,
    explain,
    is_explainable,
)
from laburnumyard.core.shards import (
    Assignment,
    Piece,
    ShardManager,
    ShardSettings,
)
from laburnumyard.core.target_directory import TargetLife, TargetState
from tests.core.scheduling.conftest import BUDGET, make_record, make_work

TARGETS = ('one', 'two', 'three')
LIMIT = LimitStatement(LimitKind.STATED, 4)
KEYS = 200
ROUTE = RouteName('benches')


class Snapshot(pickle.Pickler):
    """Pickles also the weak dictionary of a shard manager."""

    def reducer_override(self, found):
        if isinstance(found, WeakKeyDictionary):
            return dict, (list(found.items()),)
        return NotImplemented


def snapshot(*found):
    content = io.BytesIO()
    Snapshot(content).dump(found)
    return content.getvalue()


def make_busy(seed, *, is_keyed):
    """Return a scheduler that has run many requests, and the time."""
    draw = random.Random(seed)
    placement = None
    if is_keyed:
        placement = ShardManager(ShardSettings())
        piece_keys = KEYS // len(TARGETS)
        pieces = [
            Piece(
                ShardKey(number * piece_keys),
                ShardKey((number + 1) * piece_keys - 1),
                TargetLife(TargetId(target), 1),
                FencingToken(1),
            )
            for number, target in enumerate(TARGETS)
        ]
        placement.follow(Assignment(1, tuple(pieces)), Seconds(0))
    scheduler = Scheduler(SchedulerSettings(BUDGET), placement)
    scheduler.update_targets(map(make_record, TARGETS))
    now = 0
    sent = []
    for _ in range(draw.randrange(60)):
        now += draw.random() / 20
        work = make_work(
            now,
            rank=draw.randrange(3),
            key=ShardKey(draw.randrange(KEYS)) if is_keyed else None,
            fingerprint=draw.randbytes(1),
        )
        decisions = scheduler.submit(
            work, now, is_returned=draw.choice((True, False))
        )
        sent += [each for each in decisions if isinstance(each, Send)]
        if sent and draw.choice((True, False)):
            done = sent.pop(draw.randrange(len(sent)))
            outcome = draw.choice(list(Outcome))
            limit = draw.choice((LIMIT, LimitStatement(LimitKind.NONE)))
            load = LoadReport(draw.randrange(4), 0, 2, draw.choice((None, 1.5)))
            report = RunReport(outcome, 100, limit, load)
            decisions = scheduler.finish(done.work.work_id, report, now)
            sent += [each for each in decisions if isinstance(each, Send)]
    state = draw.choice(list(TargetState))
    scheduler.update_targets(
        [*map(make_record, TARGETS[:2]), make_record('three', state=state)]
    )
    return scheduler, Seconds(now + draw.random() / 10)


# An operator's question changed what the scheduler decides next.
@pytest.mark.parametrize('is_keyed', [False, True])
@pytest.mark.parametrize('seed', range(40))
def test_an_explanation_changes_nothing(seed, is_keyed):
    scheduler, now = make_busy(seed, is_keyed=is_keyed)
    key = ShardKey(7) if is_keyed else None
    work = make_work(now, key=key)
    before = snapshot(scheduler, work)
    first = explain(scheduler, work, now)
    second = explain(scheduler, work, now)
    assert_that(snapshot(scheduler, work), Equals(before))
    assert_that(second, Equals(first))


@pytest.mark.parametrize('is_keyed', [False, True])
@pytest.mark.parametrize('seed', range(40))
def test_the_explanation_is_what_the_scheduler_does(seed, is_keyed):
    scheduler, now = make_busy(seed, is_keyed=is_keyed)
    work = make_work(now, key=ShardKey(7) if is_keyed else None)
    explained = explain(scheduler, work, now)
    decisions = scheduler.submit(work, now, is_returned=False)
    decision = next((each for each in decisions if each.work is work), None)
    if isinstance(decision, Send):
        assert_that(explained.verdict, Is(Verdict.SENT))
        assert_that(explained.target, Equals(decision.target))
        assert_that(explained.candidates[0].target, Equals(decision.target))
    elif isinstance(decision, Refuse):
        assert_that(explained.verdict, Is(Verdict.REFUSED))
        assert_that(explained.refusal, Is(decision.reason))
        assert_that(explained.retry_after_s, Equals(decision.retry_after_s))
    else:
        assert_that(explained.verdict, Is(Verdict.QUEUED))


def test_a_candidate_that_gets_nothing_has_the_reason():
    scheduler = Scheduler(SchedulerSettings(BUDGET))
    names = ('ready', 'leaving', 'paused', 'full', 'lost', 'limited')
    scheduler.update_targets(
        [
            make_record(
                name,
                slots=1,
                state=TargetState.DRAINING
                if name == 'leaving'
                else TargetState.READY,
            )
            for name in names
        ]
    )
    slots = scheduler.targets
    slots['paused'].paused_until = 2.5
    slots['full'].running = 1
    slots['lost'].losses = 1
    slots['lost'].running = 1
    life = TargetLife(TargetId('limited'), 1)
    scheduler.limiter.record(life, LIMIT, Seconds(1))
    explained = explain(scheduler, make_work(1), Seconds(1))
    reasons = {each.target: each.admission for each in explained.candidates}
    assert_that(
        reasons,
        Equals(
            {
                'ready': AdmissionReason.ADMITTED,
                'leaving': AdmissionReason.LEAVING,
                'paused': AdmissionReason.PAUSED,
                'full': AdmissionReason.NO_FREE_SLOT,
                'lost': AdmissionReason.LOST,
                'limited': AdmissionReason.RATE_LIMIT,
            }
        ),
    )
    assert_that(explained.target, Equals('ready'))
    paused = {each.target: each.paused_s for each in explained.candidates}
    assert_that(paused['paused'], Equals(1.5))


def test_a_key_has_its_holder_only():
    class Fixed:
        def owner(self, key, now):
            return TargetId('two')

        def destination(self, key):
            return TargetId('two')

        def note_arrival(self, key, cost, now):
            raise AssertionError('an explanation is no arrival')

    scheduler = Scheduler(SchedulerSettings(BUDGET), Fixed())
    scheduler.update_targets(map(make_record, TARGETS))
    explained = explain(scheduler, make_work(key=ShardKey(5)), Seconds(0))
    assert_that(explained.target, Equals('two'))
    assert_that(explained.holder, Equals('two'))
    names = [each.target for each in explained.candidates]
    assert_that(names, Equals(['two']))


def test_a_request_for_a_key_without_a_holder_waits():
    placement = ShardManager(ShardSettings())
    scheduler = Scheduler(SchedulerSettings(BUDGET), placement)
    scheduler.update_targets(map(make_record, TARGETS))
    explained = explain(scheduler, make_work(key=ShardKey(5)), Seconds(0))
    assert_that(explained.verdict, Is(Verdict.QUEUED))
    assert_that(explained.holder, Is(None))


def test_a_service_without_targets_refuses():
    scheduler = Scheduler(SchedulerSettings(BUDGET))
    work = make_work(due=0.01, expires=0.02)
    explained = explain(scheduler, work, Seconds(0))
    assert_that(explained.verdict, Is(Verdict.REFUSED))
    assert_that(explained.refusal, Is(Refusal.OVERLOADED))
    assert_that(explained.candidates, Equals(()))


# The cost alone did not say whether a target is slow, loaded or far away.
def test_a_candidate_has_what_its_cost_was_computed_from():
    scheduler = Scheduler(SchedulerSettings(BUDGET))
    scheduler.update_targets(map(make_record, TARGETS))
    scheduler.times.routes[ROUTE] = Seconds(0.1)
    works = [make_work(0) for _ in range(4)]
    for work in works:
        scheduler.submit(work, Seconds(0), is_returned=False)
    load = LoadReport(running=1, waiting=0, slots=2, slowdown=1.5)
    report = RunReport(Outcome.ANSWERED, load=load)
    scheduler.finish(works[0].work_id, report, Seconds(0.1))
    explained = explain(scheduler, make_work(0.3), Seconds(0.3))
    found = {each.target: each for each in explained.candidates}
    reporter = found[works[0].target]
    assert_that(reporter.reported_slowdown, Equals(1.5))
    assert_that(round(reporter.report_age_s, 3), Equals(0.2))
    silent = found[works[1].target]
    assert_that(silent.reported_slowdown, Is(None))
    assert_that(silent.report_age_s, Is(None))
    for each in explained.candidates:
        target = each.target
        pace = scheduler.times.present_pace(target, Seconds(0.3))
        assert_that(each.pace, Equals(pace))
        left = scheduler.cost.remaining.at(target, Seconds(0.3))
        assert_that(each.remaining_s, Equals(left))
        assert_that(each.remaining_s > 0, Is(each.running > 0))
        assert_that(each.free_in_s > 0, Is(each.running == each.slots))
        assert_that(each.cost >= each.pace, Is(True))


# The verdict "queued" did not say why a free target was left unused.
def test_a_request_that_waits_for_a_faster_target_names_it():
    scheduler = Scheduler(SchedulerSettings(BUDGET))
    scheduler.update_targets(
        [make_record('fast', slots=1), make_record('slow', slots=1)]
    )
    scheduler.times.routes[ROUTE] = Seconds(0.1)
    scheduler.times.paces[TargetId('slow')] = 4
    scheduler.cost.update(scheduler.targets)
    scheduler.submit(make_work(0), Seconds(0), is_returned=False)
    explained = explain(scheduler, make_work(0.09), Seconds(0.09))
    assert_that(explained.verdict, Is(Verdict.QUEUED))
    assert_that(explained.waits_for, Equals('fast'))
    assert_that(explained.candidates[0].target, Equals('slow'))
    assert_that(scheduler.cost.reserved, Equals({}))


# The answer of a large service exceeded what one message may have.
def test_an_explanation_has_a_bounded_number_of_candidates():
    scheduler = Scheduler(SchedulerSettings(BUDGET))
    scheduler.update_targets(
        make_record(f'target-{number}') for number in range(60)
    )
    explained = explain(scheduler, make_work(), Seconds(0))
    assert_that(explained.targets, Equals(60))
    assert_that(len(explained.candidates), Equals(50))
    assert_that(explained.candidates[0].target, Equals(explained.target))


# A copy of a very large service would stop the gateway for too long.
@pytest.mark.parametrize(('targets', 'requests'), [(1000, 0), (1, 5000)])
def test_the_size_of_an_explained_service_is_bounded(targets, requests):
    scheduler = Scheduler(SchedulerSettings(BUDGET))
    scheduler.update_targets(make_record(f'{each}') for each in range(targets))
    for _ in range(requests):
        scheduler.adopt(make_work(), TargetId('0'))
    assert_that(is_explainable(scheduler), Is(True))
    scheduler.adopt(make_work(), TargetId('0'))
    scheduler.update_targets(
        make_record(f'{each}') for each in range(targets + 1)
    )
    assert_that(is_explainable(scheduler), Is(False))
