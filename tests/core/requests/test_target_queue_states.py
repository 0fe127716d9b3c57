"""The target's run log agrees with the answers under random event orders."""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import RequestState
from tests.core.requests import queue_simulation

STEPS = settings(
    max_examples=400,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=tuple(HealthCheck),
)
# Failing examples of broken variants are not shrunk. Hypothesis also draws
# constants from loaded modules, so how soon a variant is caught depends on the
# tests that ran before.
CATCH = settings(STEPS, max_examples=8000, phases=(Phase.generate,))
CUSTOMERS = ('clinic', 'reports', 'trujillo', 'arequipa')
LENGTHS = (0.001, 0.01, 0.5, 5)
LONGEST_DEADLINE = 20
# A draining queue accepts nothing more, so drain only after many requests.
MANY_REQUESTS = 15


class QueueMachine(RuleBasedStateMachine):
    queue_class = requests.TargetQueue

    def __init__(self):
        super().__init__()
        settings_now = queue_simulation.settings(queue_limit=6, least_share=0.1)
        queue = self.queue_class(settings_now, requests.OperationTimes())
        self.simulation = queue_simulation.QueueSimulation(
            queue, slots=3, cancel_time=0.05
        )

    @rule(
        customer=st.sampled_from(CUSTOMERS),
        length=st.sampled_from(LENGTHS),
        within=st.sampled_from((0.005, 0.1, 1, LONGEST_DEADLINE)),
        repeatable=st.booleans(),
        operation=st.sampled_from(('GET bench', 'GET report')),
        outcome=st.sampled_from((requests.Outcome.ANSWERED, *requests.Outcome)),
    )
    def arrive(self, customer, **options):
        if options['outcome'] is requests.Outcome.CANCELLED:
            options['outcome'] = requests.Outcome.ANSWERED
        self.simulation.arrive(customer, **options)

    @rule(
        count=st.integers(min_value=1, max_value=8),
        repeatable=st.booleans(),
        length=st.sampled_from(LENGTHS),
    )
    def crowd(self, count, **options):
        """Fill slots with borrowed runs, then add a request within a share."""
        for _ in range(count):
            self.simulation.arrive('trujillo', **options)
        self.simulation.arrive('clinic', length=0.01)

    @rule(seconds=st.sampled_from((0.001, 0.01, 0.3, 3, 100)))
    def advance(self, seconds):
        self.simulation.advance(seconds)

    @precondition(lambda machine: machine.simulation.requests)
    @rule(pick=st.integers(min_value=0, max_value=1000))
    def leave(self, pick):
        number = pick % len(self.simulation.requests)
        queue_simulation.disconnect_caller(self.simulation, f'r{number}')

    @rule()
    def shed(self):
        self.simulation.feed(requests.TargetSheds())

    @rule(slots=st.integers(min_value=1, max_value=4), cold=st.booleans())
    def resize(self, slots, cold):
        self.simulation.slots = slots
        self.simulation.feed(requests.CapacityChanged(slots, 110, cold))

    @rule(
        share=st.sampled_from((0.1, 0.5)),
        limit=st.integers(min_value=1, max_value=6),
        paid_class=st.sampled_from(('first', 'common', 'last')),
    )
    def change_settings(self, share, limit, paid_class):
        slots = self.simulation.slots
        changed = queue_simulation.settings(
            slots=slots,
            queue_limit=limit,
            shares={'arequipa': share},
            paid_class=paid_class,
        )
        self.simulation.feed(requests.SettingsChanged(changed))

    @precondition(
        lambda machine: len(machine.simulation.requests) > MANY_REQUESTS
    )
    @rule(serve_waiting=st.booleans())
    def drain(self, serve_waiting):
        kind = ErrorKind.SHUTTING_DOWN
        self.simulation.is_closed = (
            self.simulation.is_closed or not serve_waiting
        )
        self.simulation.feed(requests.Drain(kind, serve_waiting=serve_waiting))

    @invariant()
    def promises_hold(self):
        queue_simulation.check_answers_match_runs(
            self.simulation, is_over=False
        )

    @invariant()
    def no_slot_idles_while_short_work_waits(self):
        queue = self.simulation.queue
        limit = queue.concurrency_limiter.limit(self.simulation.now)
        short_waits = any(
            entry.state is RequestState.WAITING
            and not entry.is_long
            and not entry.flow.level.is_deferrable
            for entry in queue.entries.values()
        )
        assert not short_waits or len(queue.running) >= limit

    def teardown(self):
        self.simulation.advance(LONGEST_DEADLINE + 1)
        self.simulation.advance(LONGEST_DEADLINE + 1)
        queue_simulation.check_answers_match_runs(self.simulation)
        queue = self.simulation.queue
        assert_that(queue.is_idle, Is(True))
        assert_that(queue.flows.waiting, Equals(0))
        assert_that(queue.flows.waiting_deferred, Equals(0))
        paid = [
            flow.paid_running for flow in queue.flows.flow_by_customer.values()
        ]
        assert_that(sum(paid), Equals(0))


def test_promises_hold_in_any_order_of_events():
    run_state_machine_as_test(QueueMachine, settings=STEPS)


class FalseNotRunQueue(requests.TargetQueue):
    """Reports cancelled runs as not run."""

    def cancel(self, entry, failure):
        lie = Failure(ErrorKind.DEADLINE_BEFORE_START)
        super().cancel(entry, failure and lie)


class DroppingQueue(requests.TargetQueue):
    """Drops waiting requests without answering."""

    def refuse(self, entry, failure):
        self.drop(entry)


class ResendingQueue(requests.TargetQueue):
    """Resends a request when its answer was cut off."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        broke_off = requests.Outcome.BROKEN_OFF
        if isinstance(event, requests.Finished):
            if event.outcome is broke_off:
                effects.append(requests.Send(event.request_id))
        return effects


class OverbookingQueue(requests.TargetQueue):
    """Uses one more slot than the target has."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.concurrency_limiter.limit = lambda now: (
            self.concurrency_limiter.max_limit + 1
        )


class StallingQueue(requests.TargetQueue):
    """Starts nothing when a run ends."""

    def _dispatch(self, now: Seconds):
        if not self.running:
            super()._dispatch(now)


class UnsafePreemptionQueue(requests.TargetQueue):
    """Preempts runs that must not be repeated."""

    def handle(self, event, now):
        if isinstance(event, requests.Arrive):
            forced = replace(event.request, repeatable=True)
            event = requests.Arrive(forced)
        return super().handle(event, now)


@pytest.mark.parametrize(
    'broken',
    [
        FalseNotRunQueue,
        DroppingQueue,
        ResendingQueue,
        OverbookingQueue,
        StallingQueue,
        UnsafePreemptionQueue,
    ],
)
def test_checks_catch_a_broken_queue(broken):
    machine = type('Broken', (QueueMachine,), {'queue_class': broken})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=CATCH)
