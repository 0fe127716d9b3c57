"""The processor time that a queue takes for one request, in and out."""

from heapq import heappop, heappush
from random import Random
from time import perf_counter

from bench.requests.figures import show
from bench.requests.scenarios import PARTS, SERVICES, SHARES
from bench.requests.variants import queue_settings
from bench.requests.workload import (
    DEADLINE,
    SHORT,
    SHORT_MEAN,
    STRAGGLER_FACTOR,
    STRAGGLER_INTERVAL,
)
from laburnumyard.core import requests

MICROSECONDS = 1_000_000
REQUESTS = 20_000
DEMANDS = (0.7, 1.25, 5)


class CostModel:
    """Drives one queue and takes the time of its decisions only."""

    def __init__(self, demand: float, seed: int) -> None:
        """Start with an idle target."""
        service = SERVICES[0]
        settings = queue_settings(service, SHARES, service.slots)
        self.queue = requests.TargetQueue(settings, requests.OperationTimes())
        self.rate = demand * service.slots / SHORT_MEAN
        self.random = Random(seed)
        self.now: float = 0
        self.wake = float('inf')
        self.ends: list[tuple[float, str]] = []
        self.running: dict[str, float] = {}
        self.spent: float = 0

    def run(self) -> float:
        """Give the mean time for one request, in microseconds."""
        customers = list(PARTS)
        for number in range(REQUESTS):
            self._advance(self.random.expovariate(self.rate))
            request = requests.Request(
                request_id=f'r{number}',
                customer=self.random.choice(customers),
                operation=SHORT,
                deadline=self.now + DEADLINE,
                repeatable=True,
            )
            self._feed(requests.Arrive(request))
        return self.spent / REQUESTS * MICROSECONDS

    def _advance(self, seconds: float) -> None:
        until = self.now + seconds
        while min(self.wake, self._next_end()) <= until:
            if self.wake <= self._next_end():
                self.now = max(self.now, self.wake)
                self.wake = float('inf')
                self._feed(requests.Tick())
            else:
                self._end()
        self.now = until

    def _next_end(self) -> float:
        return self.ends[0][0] if self.ends else float('inf')

    def _end(self) -> None:
        due, request_id = heappop(self.ends)
        if self.running.get(request_id) == due:
            self.now = due
            self._finish(request_id, requests.Outcome.ANSWERED)

    def _finish(self, request_id: str, outcome: requests.Outcome) -> None:
        self.running.pop(request_id)
        self._feed(requests.Finished(request_id, outcome))

    def _feed(self, event: requests.Event) -> None:
        started = perf_counter()
        effects = self.queue.handle(event, self.now)
        self.spent += perf_counter() - started
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: requests.Effect) -> None:
        if isinstance(effect, requests.Send):
            due = self.now + self._length()
            self.running[effect.request_id] = due
            heappush(self.ends, (due, effect.request_id))
        elif isinstance(effect, requests.WakeAt):
            self.wake = effect.time
        elif not isinstance(effect, requests.Refuse):
            self._finish(effect.request_id, requests.Outcome.CANCELLED)

    def _length(self) -> float:
        length = self.random.gammavariate(4, SHORT_MEAN / 4)
        if self.random.random() * STRAGGLER_INTERVAL < 1:
            return length * STRAGGLER_FACTOR
        return length


def decision_cost(seed: int) -> None:
    """Print the processor time per request; it differs between runs."""
    for demand in DEMANDS:
        cost = CostModel(demand, seed).run()
        show(f'queue_us_per_request.{demand}x', cost)
