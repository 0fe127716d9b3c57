"""Ways to bring requests from the entries to the targets."""

from collections.abc import Callable
from functools import partial, singledispatchmethod

from bench.requests.simulation import (
    NEAR,
    Clock,
    SimulatedTarget,
    distance,
)
from bench.requests.workload import Job, Service
from laburnumyard.core import requests
from laburnumyard.core.ids import TargetName
from laburnumyard.core.requests._admission import Admission
from laburnumyard.schema._generated.objects import Objects

ENTRIES = 9
QUEUE_LIMIT = 64
CONNECTIONS = 110
# The work of passing a request on between daemons, both ways, in seconds.
HOP_TIME = 0.0002
TOKEN = '0' * 64

Report = Callable[[Job, bool], None]


class Fleet:
    """All targets, by service and number."""

    def __init__(self, clock: Clock, services: list[Service]) -> None:
        """Start idle."""
        self.clock = clock
        self.services = {service.name: service for service in services}
        self.targets = {
            (service.name, number): SimulatedTarget(clock, service.slots)
            for service in services
            for number in range(service.targets)
        }


class Baseline:
    """Each entry sends on its own; FIFO, no classes, no early refusal.

    A request goes to its key's owner. It is stopped at its deadline, and
    refused when the target's connections are used up.
    """

    def __init__(self, fleet: Fleet, shares: dict, report: Report) -> None:
        """Connect the entries to the targets."""
        self.fleet = fleet
        self.clock = fleet.clock
        self.report = report
        self.open: set[int] = set()

    def arrive(self, job: Job) -> None:
        """Take a caller's request."""
        number = self.choose(job)
        target = self.fleet.targets[job.service, number]
        way = distance(job.entry, number)
        self.open.add(job.number)
        self.clock.after(way, self._submit, job, target, way)
        self.clock.at(job.deadline, self._time_out, job, target)

    def choose(self, job: Job) -> int:
        """Choose the target."""
        return job.target

    def release(self, job: Job) -> None:
        """Note that a request has ended."""

    def _submit(self, job: Job, target: SimulatedTarget, way: float) -> None:
        if target.in_flight < CONNECTIONS:
            target.submit(job, lambda _: self.clock.after(way, self._end, job))
        else:
            self.clock.after(way, self._fail, job)

    def _end(self, job: Job) -> None:
        if job.number in self.open:
            self.open.remove(job.number)
            self.release(job)
            self.report(job, True)

    def _fail(self, job: Job) -> None:
        if job.number in self.open:
            self.open.remove(job.number)
            self.release(job)
            self.report(job, False)

    def _time_out(self, job: Job, target: SimulatedTarget) -> None:
        if job.number in self.open:
            target.cancel(job)
            self._fail(job)


class LeastInFlight(Baseline):
    """The same, but to the target with the fewest requests of this entry.

    It ignores who owns the key, which the targets would refuse: it shows
    what free choice would be worth.
    """

    def __init__(self, fleet: Fleet, shares: dict, report: Report) -> None:
        """Count from zero."""
        super().__init__(fleet, shares, report)
        self.counts: dict = {}
        self.chosen: dict = {}
        self.next_start = 0

    def choose(self, job: Job) -> int:
        """Choose the least used target, in turn where several are."""
        size = self.fleet.services[job.service].targets
        self.next_start += 1
        numbers = [(self.next_start + each) % size for each in range(size)]
        best = min(numbers, key=lambda each: self._count(job, each))
        place = (job.entry, job.service, best)
        self.counts[place] = self.counts.get(place, 0) + 1
        self.chosen[job.number] = place
        return best

    def release(self, job: Job) -> None:
        """Note that a request has ended."""
        self.counts[self.chosen.pop(job.number)] -= 1

    def _count(self, job: Job, number: int) -> int:
        return self.counts.get((job.entry, job.service, number), 0)


class QueueShell:
    """Carries out the effects of one queue for one simulated target."""

    def __init__(
        self,
        queue: requests.TargetQueue,
        target: SimulatedTarget,
        way: float,
        answer: Report,
    ) -> None:
        """Start with nothing held."""
        self.queue = queue
        self.target = target
        self.clock = target.clock
        self.way = way
        self.answer = answer
        self.jobs: dict[str, Job] = {}
        # The run whose answer is awaited, for each request.
        self.runs: dict[str, int] = {}
        self.sends = 0
        self.wake: float = 0

    def arrive(self, job: Job) -> None:
        """Take a request."""
        request_id = str(job.number)
        self.jobs[request_id] = job
        request = requests.Request(
            request_id=request_id,
            customer=job.customer,
            operation=job.operation,
            deadline=job.deadline,
            repeatable=job.is_repeatable,
        )
        self.feed(requests.Arrive(request))

    def feed(self, event: requests.Event) -> None:
        """Hand an event to the queue and carry out its effects."""
        for effect in self.queue.handle(event, self.clock.now):
            self.carry_out(effect)

    @singledispatchmethod
    def carry_out(self, effect: requests.Effect) -> None:
        """Carry out one effect."""
        raise TypeError(effect)

    @carry_out.register
    def _(self, effect: requests.Send) -> None:
        job = self.jobs[effect.request_id]
        self.sends += 1
        self.runs[effect.request_id] = self.sends
        done = partial(self._done, self.sends)
        self.clock.after(self.way, self.target.submit, job, done)

    @carry_out.register
    def _(self, effect: requests.Refuse) -> None:
        self.answer(self.jobs.pop(effect.request_id), False)

    @carry_out.register
    def _(self, effect: requests.CancelRunning) -> None:
        self._stop(effect.request_id)
        self.answer(self.jobs.pop(effect.request_id), False)

    @carry_out.register
    def _(self, effect: requests.Preempt) -> None:
        self._stop(effect.request_id)

    @carry_out.register
    def _(self, effect: requests.WakeAt) -> None:
        self.wake = effect.time
        self.clock.at(effect.time, self._tick, effect.time)

    def _stop(self, request_id: str) -> None:
        job = self.jobs[request_id]
        self.runs.pop(request_id)
        self.clock.after(self.way, self.target.cancel, job)
        event = requests.Finished(request_id, requests.Outcome.CANCELLED)
        self.clock.after(0, self.feed, event)

    def _tick(self, time: float) -> None:
        if time == self.wake:
            self.feed(requests.Tick())

    def _done(self, send: int, job: Job) -> None:
        self.clock.after(self.way, self._finished, send, job)

    def _finished(self, send: int, job: Job) -> None:
        request_id = str(job.number)
        if self.runs.get(request_id) != send:
            return
        self.runs.pop(request_id)
        self.answer(self.jobs.pop(request_id), True)
        event = requests.Finished(request_id, requests.Outcome.ANSWERED)
        self.feed(event)


class Dispatchers:
    """One dispatcher per target, in its data centre, with its exact slots."""

    queue_limit = QUEUE_LIMIT

    def __init__(self, fleet: Fleet, shares: dict, report: Report) -> None:
        """Give each target a queue."""
        self.clock = fleet.clock
        self.report = report
        self.shells: dict = {}
        for service in fleet.services.values():
            times = requests.OperationTimes()
            settings = queue_settings(
                service,
                shares,
                service.slots,
                self.queue_limit,
            )
            for number in range(service.targets):
                self.shells[service.name, number] = QueueShell(
                    requests.TargetQueue(settings, times),
                    fleet.targets[service.name, number],
                    NEAR,
                    self._answer,
                )

    def arrive(self, job: Job) -> None:
        """Take a caller's request and pass it to the dispatcher."""
        way = distance(job.entry, job.target) + HOP_TIME / 2
        shell = self.shells[job.service, job.target]
        self.clock.after(way, shell.arrive, job)

    def _answer(self, job: Job, is_whole: bool) -> None:
        way = distance(job.entry, job.target) + HOP_TIME / 2
        self.clock.after(way, self.report, job, is_whole)


class UnboundedAdmission(Admission):
    """Refuses nothing early."""

    def refusal(self, entry: object, wait: float, now: float) -> None:
        """Admit every request."""


class UnboundedDispatchers(Dispatchers):
    """The same without refusals of fresh requests: they all wait."""

    queue_limit = 1_000_000

    def __init__(self, fleet: Fleet, shares: dict, report: Report) -> None:
        """Take away what refuses."""
        super().__init__(fleet, shares, report)
        for shell in self.shells.values():
            queue = shell.queue
            queue.admission = UnboundedAdmission(queue.times)


class DirectShares:
    """Each entry holds a share of each target's slots and sends directly.

    The share is below one slot (3 of 9) and rounds up to one, so that the
    target may be sent more than its slots.
    """

    def __init__(self, fleet: Fleet, shares: dict, report: Report) -> None:
        """Give each entry a queue for each target."""
        self.shells: dict = {}
        for service in fleet.services.values():
            slots = max(service.slots // ENTRIES, 1)
            settings = queue_settings(service, shares, slots)
            for entry in range(ENTRIES):
                times = requests.OperationTimes()
                for number in range(service.targets):
                    self.shells[entry, service.name, number] = QueueShell(
                        requests.TargetQueue(settings, times),
                        fleet.targets[service.name, number],
                        distance(entry, number),
                        report,
                    )

    def arrive(self, job: Job) -> None:
        """Take a caller's request."""
        self.shells[job.entry, job.service, job.target].arrive(job)


def queue_settings(
    service: Service,
    shares: dict[str, tuple[str, float]],
    slots: int,
    queue_limit: int = QUEUE_LIMIT,
) -> requests.QueueSettings:
    """Build the settings of a queue.

    Parameters
    ----------
    service
        The service.
    shares
        Class and share by customer.
    slots
        The slots that the queue may use.
    queue_limit
        How many requests may wait.
    """
    customers = [
        {
            'name': customer,
            'token_sha256': TOKEN,
            'shares': [
                {
                    'service': service.name,
                    'priority_class': priority_class,
                    'share': share,
                },
            ],
        }
        for customer, (priority_class, share) in shares.items()
    ]
    objects = Objects.model_validate(
        {
            'service': [
                {
                    'name': service.name,
                    'region': 'lima',
                    'common_class': 'common',
                    'queue_limit': queue_limit,
                },
            ],
            'target': [
                {
                    'name': 'target',
                    'service': service.name,
                    'data_centre': 'lima-a',
                    'address': '127.0.0.1:9000',
                    'slots': slots,
                    'connections': CONNECTIONS,
                },
            ],
            'priority_class': [
                {'name': 'first', 'rank': 0},
                {'name': 'common', 'rank': 10, 'least_share': 0.05},
                {'name': 'later', 'rank': 20, 'deferrable': True},
            ],
            'customer': customers,
        },
    )
    return requests.queue_settings(objects, TargetName('target'))
