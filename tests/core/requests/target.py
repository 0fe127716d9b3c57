"""The simulated target of a fleet and the runs it receives."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumyard.core.errors import ErrorKind, Failure
from tests.core.requests.constants import (
    DISPATCHER,
    POISON,
    RUN_TIME,
    SLOW,
    SLOW_RUN_TIME,
    TARGET,
)
from tests.core.requests.grants import OWNER


class Run(NamedTuple):
    """One attempt to run an order at the target."""

    run_id: str
    order: str
    link: object
    reply: Callable
    # Whether its guard held the key when sending, by the observer.
    was_granted: bool


class Target:
    """Runs every order it receives, also those received while frozen."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.cancelled = set()
        self.down_until = 0
        # Whether poison crashes the target when a step is reached, not at once.
        self.is_armed = False

    def submit(self, run):
        self.fleet.reach('send')
        if run.link.is_closed:
            # Messages to a process that has just died are lost.
            return
        if self.fleet.processes[TARGET].paused_until > self.fleet.now:
            self.fleet.at(self.fleet.now, TARGET, self.start, run)
        else:
            # Starts at once, so a cancellation after a freeze is too late.
            self.start(run)

    def start(self, run):
        if run.run_id in self.cancelled:
            return
        if not self.is_granted():
            self.answer(run, Failure(ErrorKind.NOT_OWNER))
            return
        self.note_run(run)
        if not run.order.startswith(POISON):
            time = SLOW_RUN_TIME if run.order.startswith(SLOW) else RUN_TIME
            self.fleet.at(self.fleet.now + time, TARGET, self.end, run)
        elif not self.is_armed:
            self.fleet.kill_target()

    def is_granted(self):
        """Whether the target may run orders; guarded ones do not check."""
        grants = self.fleet.grants
        return grants is None or grants.is_guarded or grants.is_held()

    def note_run(self, run):
        """Record the start of a run and check it against the observer."""
        self.fleet.run_log[run.order] += 1
        grants = self.fleet.grants
        if grants is None:
            return
        owners = grants.observed_owners()
        assert owners <= {OWNER}, f'{owners} hold the key of {run.order}'
        is_granted = grants.is_guarded or grants.is_observed()
        assert run.was_granted, f'{run.order} was sent without a grant'
        assert is_granted, f'{run.order} ran without a grant'

    def end(self, run):
        self.fleet.reach('answer')
        # A process that has just died sends nothing, as its link is closed.
        self.answer(run, f'answer to {run.order}')

    def answer(self, run, answer):
        self.fleet.send(run.link, TARGET, DISPATCHER, run.reply, answer)

    def cancel(self, run_id):
        self.cancelled.add(run_id)
