"""Virtual time, the network and the targets."""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush

from bench.requests.workload import Job

# One way, in seconds: inside a data centre, and between two.
NEAR = 0.0001
FAR = 0.0015
DATA_CENTRES = 3


class Clock:
    """Calls functions in the order of virtual time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now: float = 0
        self.calls: list = []
        self.order = 0

    def at(self, moment: float, call: Callable, *arguments) -> None:
        """Call a function at a moment."""
        self.order += 1
        heappush(self.calls, (moment, self.order, call, arguments))

    def after(self, delay: float, call: Callable, *arguments) -> None:
        """Call a function after a delay."""
        self.at(self.now + delay, call, *arguments)

    def run(self) -> None:
        """Go on until nothing is left to call."""
        while self.calls:
            due, _order, call, arguments = heappop(self.calls)
            self.now = due
            call(*arguments)


def distance(entry: int, target: int) -> float:
    """Give the way from an entry to a target, in seconds."""
    return NEAR if entry % DATA_CENTRES == target % DATA_CENTRES else FAR


class SimulatedTarget:
    """Runs as many requests as it has slots; the others wait in it, FIFO."""

    def __init__(self, clock: Clock, slots: int) -> None:
        """Start idle."""
        self.clock = clock
        self.slots = slots
        self.running: dict[int, tuple] = {}
        self.waiting: deque = deque()
        self.busy_time: float = 0
        self.started: dict[int, float] = {}

    @property
    def in_flight(self) -> int:
        """How many requests run or wait."""
        return len(self.running) + len(self.waiting)

    def submit(self, job: Job, on_done: Callable[[Job], None]) -> None:
        """Run a request as soon as a slot is free."""
        self.waiting.append((job, on_done))
        self._fill()

    def cancel(self, job: Job) -> None:
        """Stop a request, wherever it is."""
        run = self.running.pop(job.number, None)
        if run is None:
            self.waiting = deque(
                entry for entry in self.waiting if entry[0] is not job
            )
            return
        self.busy_time += self.clock.now - run[1]
        self._fill()

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            job, on_done = self.waiting.popleft()
            run = (on_done, self.clock.now)
            self.running[job.number] = run
            self.started[job.number] = self.clock.now
            self.clock.after(job.length, self._end, job, run)

    def _end(self, job: Job, run: tuple) -> None:
        if self.running.get(job.number) is not run:
            return
        self.running.pop(job.number)
        self.busy_time += self.clock.now - run[1]
        run[0](job)
        self._fill()
