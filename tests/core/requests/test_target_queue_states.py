"""Any order of events: what the target ran agrees with what callers heard."""

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
from laburnumyard.core.requests._entries import State
from tests.core.requests import queue_simulation as worlds

STEPS = settings(
    max_examples=400,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=tuple(HealthCheck),
)
# A broken variant is only to be caught, not to be shrunk.
# Hypothesis also draws constants of the modules that happen to be loaded, so
# that how soon a variant is caught depends on the tests that ran before.
CATCH = settings(STEPS, max_examples=8000, phases=(Phase.generate,))
CUSTOMERS = ('clinic', 'reports', 'trujillo', 'arequipa')
LENGTHS = (0.001, 0.01, 0.5, 5)
LONGEST_DEADLINE = 20
# A queue that drains takes nothing more, so that it drains late.
MANY_REQUESTS = 15


class QueueMachine(RuleBasedStateMachine):
    queue_class = requests.TargetQueue

    def __init__(self):
        super().__init__()
        settings_now = worlds.settings(queue_limit=6, least_share=0.1)
        queue = self.queue_class(settings_now, requests.OperationTimes())
        self.world = worlds.World(queue, slots=3, cancel_time=0.05)

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
        self.world.arrive(customer, **options)

    @rule(
        count=st.integers(min_value=1, max_value=8),
        repeatable=st.booleans(),
        length=st.sampled_from(LENGTHS),
    )
    def crowd(self, count, **options):
        """Lend all slots, then let their customer arrive."""
        for _ in range(count):
            self.world.arrive('trujillo', **options)
        self.world.arrive('clinic', length=0.01)

    @rule(seconds=st.sampled_from((0.001, 0.01, 0.3, 3, 100)))
    def advance(self, seconds):
        self.world.advance(seconds)

    @precondition(lambda machine: machine.world.requests)
    @rule(pick=st.integers(min_value=0, max_value=1000))
    def leave(self, pick):
        number = pick % len(self.world.requests)
        worlds.leave(self.world, f'r{number}')

    @rule()
    def shed(self):
        self.world.feed(requests.TargetSheds())

    @rule(slots=st.integers(min_value=1, max_value=4), cold=st.booleans())
    def resize(self, slots, cold):
        self.world.slots = slots
        self.world.feed(requests.CapacityChanged(slots, 110, cold))

    @rule(
        share=st.sampled_from((0.1, 0.5)),
        limit=st.integers(min_value=1, max_value=6),
        paid_class=st.sampled_from(('first', 'common', 'last')),
    )
    def change_settings(self, share, limit, paid_class):
        slots = self.world.slots
        changed = worlds.settings(
            slots=slots,
            queue_limit=limit,
            shares={'arequipa': share},
            paid_class=paid_class,
        )
        self.world.feed(requests.SettingsChanged(changed))

    @precondition(lambda machine: len(machine.world.requests) > MANY_REQUESTS)
    @rule(serve_waiting=st.booleans())
    def drain(self, serve_waiting):
        kind = ErrorKind.SHUTTING_DOWN
        self.world.is_closed = self.world.is_closed or not serve_waiting
        self.world.feed(requests.Drain(kind, serve_waiting=serve_waiting))

    @invariant()
    def promises_hold(self):
        worlds.check(self.world, is_over=False)

    @invariant()
    def no_slot_idles_while_short_work_waits(self):
        queue = self.world.queue
        limit = queue.throttle.limit(self.world.now)
        short_waits = any(
            entry.state is State.WAITING
            and not entry.is_long
            and not entry.flow.level.is_deferrable
            for entry in queue.entries.values()
        )
        assert not short_waits or len(queue.running) >= limit

    def teardown(self):
        self.world.advance(LONGEST_DEADLINE + 1)
        self.world.advance(LONGEST_DEADLINE + 1)
        worlds.check(self.world)
        queue = self.world.queue
        assert_that(queue.is_idle, Is(True))
        assert_that(queue.flows.waiting, Equals(0))
        assert_that(queue.flows.waiting_deferred, Equals(0))
        paid = [
            flow.paid_running for flow in queue.flows.flow_by_customer.values()
        ]
        assert_that(sum(paid), Equals(0))


def test_promises_hold_in_any_order_of_events():
    run_state_machine_as_test(QueueMachine, settings=STEPS)


class LyingQueue(requests.TargetQueue):
    """Tells callers of cancelled runs that they did not run."""

    def cancel(self, entry, failure):
        lie = Failure(ErrorKind.DEADLINE_BEFORE_START)
        super().cancel(entry, failure and lie)


class ForgettingQueue(requests.TargetQueue):
    """Drops waiting requests without a word."""

    def refuse(self, entry, failure):
        self.drop(entry)


class RepeatingQueue(requests.TargetQueue):
    """Sends a request again when its answer was cut off."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        broke_off = requests.Outcome.BROKEN_OFF
        if isinstance(event, requests.Finished):
            if event.outcome is broke_off:
                effects.append(requests.Send(event.request_id))
        return effects


class OverbookingQueue(requests.TargetQueue):
    """Takes one more slot than the target has."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.throttle.limit = lambda now: self.throttle.max_limit + 1


class LazyQueue(requests.TargetQueue):
    """Starts nothing when a run ends."""

    def _dispatch(self, now: Seconds):
        if not self.running:
            super()._dispatch(now)


class ImpatientQueue(requests.TargetQueue):
    """Stops lent runs that must not be repeated."""

    def handle(self, event, now):
        if isinstance(event, requests.Arrive):
            forced = replace(event.request, repeatable=True)
            event = requests.Arrive(forced)
        return super().handle(event, now)


@pytest.mark.parametrize(
    'broken',
    [
        LyingQueue,
        ForgettingQueue,
        RepeatingQueue,
        OverbookingQueue,
        LazyQueue,
        ImpatientQueue,
    ],
)
def test_checks_catch_a_broken_queue(broken):
    machine = type('Broken', (QueueMachine,), {'queue_class': broken})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=CATCH)
