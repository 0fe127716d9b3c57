"""A target, its dispatcher and an observer in virtual time."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from functools import singledispatchmethod
from types import MappingProxyType

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.schema._generated.objects import Objects

SERVICE = 'catalogue'
TARGET = 'catalogue-1'
TOKEN = '0' * 64


def objects(
    *,
    slots=3,
    queue_limit=64,
    shares=None,
    least_share=0,
    paid_class='first',
):
    """Build four classes, one deferrable, and customers with paid shares."""
    shares = {'clinic': 0.2} if shares is None else shares
    return Objects.model_validate(
        {
            'service': [
                {
                    'name': SERVICE,
                    'region': 'lima',
                    'common_class': 'common',
                    'queue_limit': queue_limit,
                },
            ],
            'target': [
                {
                    'name': TARGET,
                    'service': SERVICE,
                    'data_centre': 'lima-a',
                    'address': '127.0.0.1:9000',
                    'slots': slots,
                },
            ],
            'priority_class': [
                {'name': 'first', 'rank': 0},
                {'name': 'common', 'rank': 10, 'least_share': least_share},
                {'name': 'last', 'rank': 15},
                {'name': 'later', 'rank': 20, 'deferrable': True},
            ],
            'customer': [
                _customer('reports', 0.1, 'later'),
                *(
                    _customer(name, share, paid_class)
                    for name, share in shares.items()
                ),
            ],
        }
    )


def _customer(name, share, priority_class):
    paid = {
        'service': SERVICE,
        'priority_class': priority_class,
        'share': share,
    }
    return {'name': name, 'token_sha256': TOKEN, 'shares': [paid]}


def settings(**options):
    return requests.queue_settings(objects(**options), TargetName(TARGET))


KINDS = MappingProxyType(
    {
        requests.Outcome.SHED: ErrorKind.TARGET_SHED,
        requests.Outcome.UNREACHABLE: ErrorKind.TARGET_UNREACHABLE,
        requests.Outcome.BROKEN_OFF: ErrorKind.TARGET_BROKE_OFF,
    }
)


@dataclass
class ActiveRun:
    request_id: str
    ends: float
    outcome: requests.Outcome


class QueueSimulation:
    """Carries out the effects of a queue, as the dispatcher does.

    `run_log` is recorded by the target, `answers` by the callers.
    """

    def __init__(self, queue, slots, cancel_time=0):
        self.queue = queue
        self.now = Seconds(0)
        self.run_log = []
        self.runs = {}
        self.answers = defaultdict(list)
        self.sent_at = defaultdict(list)
        self.plans = {}
        self.requests = {}
        self.disconnected = set()
        self.wake = None
        self.inbox = deque()
        self.slots = slots
        self.cancel_time = cancel_time
        # Whether the target must not receive anything new.
        self.is_closed = False

    def arrive(self, customer, **options):
        """Let a request arrive and return its id."""
        request_id = f'r{len(self.requests)}'
        request = requests.Request(
            request_id=request_id,
            customer=customer,
            operation=options.get('operation', 'GET bench'),
            deadline=Seconds(self.now + options.get('within', 2)),
            repeatable=options.get('repeatable', True),
        )
        self.requests[request_id] = request
        self.plans[request_id] = (
            options.get('length', 0.01),
            options.get('outcome', requests.Outcome.ANSWERED),
        )
        self.feed(requests.Arrive(request))
        return request_id

    def feed(self, event):
        """Deliver an event, then the events that its effects cause."""
        self.inbox.append(event)
        if len(self.inbox) > 1:
            return
        while self.inbox:
            for effect in self.queue.handle(self.inbox[0], self.now):
                self.carry_out(effect)
            self.inbox.popleft()

    def advance(self, seconds):
        """Advance the time; runs end and timers fire in order."""
        until = self.now + seconds
        due = self._next_due()
        while due <= until:
            self.now = max(self.now, due)
            self._fire(due)
            due = self._next_due()
        self.now = until

    def _next_due(self):
        ends = [run.ends for run in self.runs.values()]
        wakes = [] if self.wake is None else [self.wake]
        return min(ends + wakes, default=float('inf'))

    def _fire(self, due):
        if self.wake == due:
            self.wake = None
            self.feed(requests.Tick())
            return
        run = min(self.runs.values(), key=lambda each: each.ends)
        self.runs.pop(run.request_id)
        if run.outcome is requests.Outcome.ANSWERED:
            self.tell(run.request_id, f'answer to {run.request_id}')
        elif run.outcome is not requests.Outcome.CANCELLED:
            kind = KINDS[run.outcome]
            self.tell(run.request_id, Failure(kind))
        self.feed(requests.Finished(run.request_id, run.outcome))

    def tell(self, request_id, answer):
        self.answers[request_id].append(answer)

    @singledispatchmethod
    def carry_out(self, effect):
        raise AssertionError(effect)

    @carry_out.register
    def _(self, effect: requests.Send):
        request_id = effect.request_id
        length, outcome = self.plans[request_id]
        self.sent_at[request_id].append(self.now)
        if outcome in (requests.Outcome.ANSWERED, requests.Outcome.BROKEN_OFF):
            self.run_log.append(request_id)
        assert not self.is_closed, f'{request_id} sent to a leaving target'
        run = ActiveRun(request_id, self.now + length, outcome)
        self.runs[request_id] = run
        assert len(self.runs) <= self.slots, 'more runs than slots'

    @carry_out.register
    def _(self, effect: requests.Refuse):
        self.tell(effect.request_id, effect.failure)

    @carry_out.register
    def _(self, effect: requests.CancelRunning):
        if effect.failure is not None:
            self.tell(effect.request_id, effect.failure)
        self.stop(effect.request_id)

    @carry_out.register
    def _(self, effect: requests.Preempt):
        self.stop(effect.request_id)

    @carry_out.register
    def _(self, effect: requests.WakeAt):
        self.wake = effect.time

    def stop(self, request_id):
        """Close the connection; the slot is freed when the target stops."""
        cancelled = requests.Outcome.CANCELLED
        if self.cancel_time:
            ends = self.now + self.cancel_time
            self.runs[request_id] = ActiveRun(request_id, ends, cancelled)
        else:
            self.runs.pop(request_id)
            self.feed(requests.Finished(request_id, cancelled))


def disconnect_caller(simulation, request_id):
    """Close the connection of a request's caller."""
    simulation.disconnected.add(request_id)
    simulation.feed(requests.CallerDisconnected(request_id))


def check_answers_match_runs(simulation, *, is_over=True):
    """Check that the answers agree with the target's run log."""
    ran = Counter(simulation.run_log)
    for request_id, request in simulation.requests.items():
        answers = simulation.answers[request_id]
        check_answers(request_id, answers, ran[request_id])
        if is_over and request_id not in simulation.disconnected:
            assert answers, f'{request_id} was silently dropped'
        if not request.repeatable:
            assert ran[request_id] <= 1, f'{request_id} ran twice'


def answer_kinds(simulation, request_id):
    """Return the error kinds that a caller received, or 'answer'."""
    return [
        answer.kind if isinstance(answer, Failure) else 'answer'
        for answer in simulation.answers[request_id]
    ]


def check_answers(request_id, answers, runs):
    assert len(answers) <= 1, f'{request_id} was answered twice'
    for answer in answers:
        if isinstance(answer, Failure):
            if answer.answer.ran is Ran.NOT_RUN:
                assert not runs, f'{request_id} ran: {answer}'
        else:
            assert answer == f'answer to {request_id}', answer
            assert runs, f'{request_id} has an answer without a run'
