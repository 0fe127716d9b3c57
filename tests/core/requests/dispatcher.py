"""Simulated dispatcher of a target, driven as in the real daemon."""

from functools import partial, singledispatchmethod
from types import MappingProxyType

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure
from tests.core.requests import queue_simulation
from tests.core.requests.constants import (
    DEADLINE,
    POISON,
    POISON_DEADLINE,
    TARGET,
)
from tests.core.requests.links import TargetLinks
from tests.core.requests.target import Run

OUTCOMES = MappingProxyType(
    {
        ErrorKind.NOT_OWNER: requests.Outcome.CANCELLED,
        ErrorKind.NO_OWNER: requests.Outcome.CANCELLED,
        ErrorKind.TARGET_UNREACHABLE: requests.Outcome.UNREACHABLE,
        ErrorKind.TARGET_BROKE_OFF: requests.Outcome.BROKEN_OFF,
    }
)


class Dispatcher:
    """The queue of the target and the connections to it."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        settings = queue_simulation.settings(slots=2)
        self.queue = requests.TargetQueue(settings, requests.OperationTimes())
        self.held = {}
        self.inbox = []
        self.wake = None
        self.links = TargetLinks(fleet, name, TARGET)

    def dispatch(self, order, reply):
        self.fleet.reach('queue')
        self.fleet.order += 1
        fleet_order = self.fleet.order
        request_id = f'{order}-{fleet_order}'
        time = POISON_DEADLINE if order.startswith(POISON) else DEADLINE
        self.held[request_id] = (order, reply)
        request = requests.Request(
            request_id=request_id,
            customer='trujillo',
            operation='POST orders',
            deadline=self.fleet.now + time,
            repeatable=False,
        )
        self.feed(requests.Arrive(request))

    def feed(self, event):
        self.inbox.append(event)
        if len(self.inbox) > 1:
            return
        while self.inbox:
            for effect in self.queue.handle(self.inbox[0], self.fleet.now):
                self.carry_out(effect)
            self.inbox.pop(0)

    @singledispatchmethod
    def carry_out(self, effect):
        raise AssertionError(effect)

    @carry_out.register
    def _(self, effect: requests.Send):
        request_id = effect.request_id
        failure = self.refusal(request_id)
        if failure is not None:
            self.end(request_id, failure)
            return
        fleet = self.fleet
        link = self.links.take(request_id)
        done = partial(self.end_run, request_id)
        order = self.held[request_id][0]
        grants = fleet.grants
        was_granted = (
            grants is None or not grants.is_guarded or grants.is_observed()
        )
        run = Run(request_id, order, link, done, was_granted)
        fleet.send(link, self.name, TARGET, fleet.target.submit, run)

    def refusal(self, request_id):
        """Return why a selected order is not sent, or None."""
        if self.fleet.target.down_until > self.fleet.now:
            return Failure(ErrorKind.TARGET_UNREACHABLE)
        if not self.is_granted():
            return Failure(ErrorKind.NO_OWNER)
        return None

    def is_granted(self):
        """Whether the guard holds a valid grant for its target."""
        grants = self.fleet.grants
        return grants is None or not grants.is_guarded or grants.is_held()

    @carry_out.register
    def _(self, effect: requests.Refuse):
        self.give(effect.request_id, effect.failure)

    @carry_out.register
    def _(self, effect: requests.CancelRunning):
        self.fleet.reach('cancel')
        request_id = effect.request_id
        target = self.fleet.target
        link = self.links.busy[request_id].link
        self.fleet.send(link, self.name, TARGET, target.cancel, request_id)
        self.links.cancelled(request_id)
        self.end(request_id, effect.failure, requests.Outcome.CANCELLED)

    @carry_out.register
    def _(self, effect: requests.WakeAt):
        self.fleet.at(effect.time, self.name, self.tick, effect.time)
        self.wake = effect.time

    def tick(self, time):
        if time == self.wake:
            self.feed(requests.Tick())

    def end_run(self, request_id, answer):
        if request_id in self.held:
            self.links.answered(request_id)
            self.end(request_id, answer)

    def end(self, request_id, result, outcome=None):
        if outcome is None:
            kind = getattr(result, 'kind', None)
            outcome = OUTCOMES.get(kind, requests.Outcome.ANSWERED)
        self.give(request_id, result)
        self.feed(requests.Finished(request_id, outcome))

    def break_off(self, death):
        """Handle closed connections after the target died."""
        broken = self.links.broken()
        orders = [self.held[request_id][0] for request_id in broken]
        self.fleet.daemons[self.name].note_death(death, orders)
        for request_id in broken:
            self.links.broke_off(request_id)
            self.end(request_id, Failure(ErrorKind.TARGET_BROKE_OFF))

    def give(self, request_id, result):
        self.held.pop(request_id)[1](result)
