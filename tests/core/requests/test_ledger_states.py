"""Each ticket runs at most once and replays its own answer.

Hypothesis draws the order of submissions, restarts and expiries.
"""

from collections import Counter

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

from laburnumyard.core import requests
from laburnumyard.core.errors import Ran
from laburnumyard.schema._generated.settings import LimitSettings

STEPS = settings(
    max_examples=400,
    stateful_step_count=50,
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
LIMITS = LimitSettings(tickets=2, ticket_life_s=10, ticket_answer_bytes=1024)
# Only the most recent tickets are resubmitted, so that each is used often.
RECENT_TICKETS = 8
PICK = st.integers(min_value=0, max_value=1000)


class LedgerMachine(RuleBasedStateMachine):
    """Two daemons; `run_log` counts the runs per ticket at the targets."""

    ledger_class = requests.TicketLedger

    def __init__(self):
        super().__init__()
        self.now = 1
        self.incarnations = [1, 1]
        self.ledgers = [self.new_ledger(0), self.new_ledger(1)]
        self.tickets = []
        self.run_log = Counter()
        self.pending = {}
        self.told_not_run = {}

    def new_ledger(self, daemon):
        incarnation = self.incarnations[daemon]
        return self.ledger_class(f'lima-{daemon}', incarnation, LIMITS)

    @rule(daemon=st.integers(0, 1))
    def issue(self, daemon):
        draw = len(self.tickets)
        self.tickets.append(self.ledgers[daemon].issue(draw, self.now))

    @precondition(lambda machine: machine.tickets)
    @rule(pick=PICK, astray=st.booleans(), other=st.booleans())
    def submit(self, pick, astray, other):
        """Submit a ticket, perhaps to a wrong daemon or for another request."""
        ticket = self.pick_ticket(pick)
        daemon = int(ticket.issuer[-1]) ^ (astray and pick % 7 == 0)
        fingerprint = b'other' if other and pick % 5 == 0 else b'order'
        decision = self.ledgers[daemon].submit(ticket, fingerprint, self.now)
        self.observe(ticket, fingerprint, decision)

    def observe(self, ticket, fingerprint, decision):
        if isinstance(decision, requests.Run):
            self.pending[ticket] = False
        elif isinstance(decision, requests.Replay):
            expected = answer_to(ticket)
            assert decision.answer == expected, 'answer of another request'
        elif decision.failure.answer.ran is Ran.NOT_RUN:
            is_other = isinstance(decision, requests.Conflict)
            assert is_other or not self.run_log[ticket], 'it did run'

    @precondition(lambda machine: machine.pending)
    @rule(pick=PICK)
    def reach_target(self, pick):
        ticket = pick_pending(self.pending, pick)
        if not self.pending[ticket]:
            self.pending[ticket] = True
            self.run_log[ticket] += 1

    @precondition(lambda machine: machine.pending)
    @rule(pick=PICK, is_known=st.booleans())
    def finish(self, pick, is_known):
        ticket = pick_pending(self.pending, pick)
        did_run = self.pending.pop(ticket)
        ran = Ran.RAN if did_run else Ran.NOT_RUN
        ledger = self.ledgers[int(ticket.issuer[-1])]
        reported = ran if is_known else Ran.UNKNOWN
        ledger.finish(ticket, reported, answer_to(ticket))

    @rule(daemon=st.integers(0, 1), pick=PICK, is_known=st.booleans())
    def order(self, daemon, pick, is_known):
        """Process a new or old order from its ticket to its answer."""
        if pick % 2 or not self.tickets:
            self.issue(daemon)
            pick = -1
        ticket = self.pick_ticket(pick)
        ledger = self.ledgers[int(ticket.issuer[-1])]
        decision = ledger.submit(ticket, b'order', self.now)
        self.observe(ticket, b'order', decision)
        if isinstance(decision, requests.Run):
            self.pending.pop(ticket)
            self.run_log[ticket] += 1
            reported = Ran.RAN if is_known else Ran.UNKNOWN
            ledger.finish(ticket, reported, answer_to(ticket))

    def pick_ticket(self, pick):
        recent = self.tickets[-RECENT_TICKETS:]
        return recent[pick % len(recent)]

    @rule(seconds=st.sampled_from((0.001, 0.5, 1.5, 9, 11)))
    def advance(self, seconds):
        self.now += seconds

    @rule(daemon=st.integers(0, 1), pick=PICK)
    def restart(self, daemon, pick):
        """Restart a daemon; requests in flight may still reach the target."""
        if pick % 4:
            return
        self.incarnations[daemon] += 1
        self.ledgers[daemon] = self.new_ledger(daemon)
        for ticket in tuple(self.pending):
            if ticket.issuer == f'lima-{daemon}':
                did_run = self.pending.pop(ticket)
                self.run_log[ticket] += not did_run

    @rule(daemon=st.integers(0, 1), pick=PICK)
    def drain(self, daemon, pick):
        if not pick % 10:
            self.ledgers[daemon].drain()

    @invariant()
    def no_ticket_runs_twice(self):
        twice = [each for each, runs in self.run_log.items() if runs > 1]
        assert not twice, f'{twice} ran twice'

    @invariant()
    def memory_is_bounded(self):
        for ledger in self.ledgers:
            kept = sum(len(entry.answer) for entry in ledger.entries.values())
            assert len(ledger.entries) <= LIMITS.tickets
            assert kept == ledger.answer_bytes
            assert kept <= LIMITS.ticket_answer_bytes
            assert ledger.running <= len(ledger.entries)


def pick_pending(pending, pick):
    return sorted(pending, key=repr)[pick % len(pending)]


def answer_to(ticket):
    return ticket.ticket_id.encode().ljust(600, b'.')


def test_one_run_per_ticket_in_any_order_of_events():
    run_state_machine_as_test(LedgerMachine, settings=STEPS)


class UntrackedDeletionLedger(requests.TicketLedger):
    """Deletes old records without recording their time of issue."""

    def _forget_oldest(self):
        super()._forget_oldest()
        self.forgotten_until_ms = -1


class NonExpiringLedger(requests.TicketLedger):
    """Accepts tickets of any age and any incarnation."""

    def _void_reason(self, ticket, now):
        return ''


class RerunningLedger(requests.TicketLedger):
    """Reruns requests with an unknown outcome."""

    def finish(self, ticket, ran, answer):
        known = Ran.NOT_RUN if ran is Ran.UNKNOWN else ran
        super().finish(ticket, known, answer)


class MixedUpAnswersLedger(requests.TicketLedger):
    """Replays the answer of the ticket that finished last."""

    def finish(self, ticket, ran, answer):
        super().finish(ticket, ran, answer)
        for entry in self.entries.values():
            entry.answer = entry.answer and answer


class UnboundedLedger(requests.TicketLedger):
    """Keeps every answer."""

    def _evict_answers(self):
        """Drop nothing."""


@pytest.mark.parametrize(
    'broken',
    [
        UntrackedDeletionLedger,
        NonExpiringLedger,
        RerunningLedger,
        MixedUpAnswersLedger,
        UnboundedLedger,
    ],
)
def test_checks_catch_a_broken_ledger(broken):
    machine = type('Broken', (LedgerMachine,), {'ledger_class': broken})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=CATCH)
