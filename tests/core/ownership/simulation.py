"""Simulated time, processes with drifting clocks, and a faulty network."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

ONE_WAY_S = 0.0015
JITTER_S = 0.001
TIMEOUT_S = 1.0


@dataclass
class World:
    """The event queue, the simulated real time and the network."""

    seed: int
    now: float = 0
    cuts: set = field(default_factory=set)
    queue: list = field(default_factory=list)
    # The share of messages that are delayed, and the longest delay in seconds.
    late_share: float = 0
    late_by: float = 0

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.numbers = count()
        self.watchers: list[Callable[[], None]] = []

    def at(self, moment: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (moment, next(self.numbers), action))

    def run_until(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            event = heapq.heappop(self.queue)
            self.now = event[0]
            event[-1]()
            for watcher in self.watchers:
                watcher()
        self.now = end

    def send(self, source, destination, action) -> None:
        """Run an action at another process unless the link is cut."""
        if self.is_cut(source, destination):
            return
        delay = ONE_WAY_S + self.random.random() * JITTER_S
        if self.random.random() < self.late_share:
            delay += self.random.random() * self.late_by
        generation = destination.generation
        self.at(
            self.now + delay,
            lambda: destination.run(action, generation),
        )

    def is_cut(self, source, destination) -> bool:
        ends = {
            (one, other)
            for one in (source.name, source.data_centre)
            for other in (destination.name, destination.data_centre)
        }
        return not self.cuts.isdisjoint(ends)

    def cut(self, one: str, other: str, *, both_ways: bool = True) -> None:
        """Cut the link between two processes or data centres."""
        self.cuts.add((one, other))
        if both_ways:
            self.cuts.add((other, one))

    def heal(self, one: str, other: str) -> None:
        """Restore the link between two processes or data centres."""
        self.cuts -= {(one, other), (other, one)}


class SimulatedProcess:
    """A process with its own clock that can be paused, killed and restarted."""

    def __init__(self, world: World, name: str, data_centre: str) -> None:
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.offset = world.random.uniform(10, 1000)
        self.rate = 1 + world.random.uniform(-0.0004, 0.0004)
        self.is_alive = True
        self.is_paused = False
        self.generation = 0
        self.inbox: list = []

    @property
    def clock(self) -> float:
        """The boot-time clock of the process."""
        return self.offset + self.rate * self.world.now

    def true_time(self, reading: float) -> float:
        """The simulated real time at which the clock shows a reading."""
        return (reading - self.offset) / self.rate

    def run(self, action, generation: int) -> None:
        """Run an action, or queue it until the pause ends."""
        if not self.is_alive or generation != self.generation:
            return
        if self.is_paused:
            self.inbox.append((action, generation))
        else:
            action()

    def later(self, delay: float, action) -> None:
        """Run an action after a delay on the clock of this process."""
        generation = self.generation
        self.world.at(
            self.world.now + delay / self.rate,
            lambda: self.run(action, generation),
        )

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False
        kept = list(self.inbox)
        self.inbox.clear()
        for action, generation in kept:
            self.run(action, generation)

    def kill(self) -> None:
        self.is_alive = False
        self.is_paused = False
        self.generation += 1
        self.inbox.clear()

    def start(self) -> None:
        """Start a new process on the same VM unless one is running."""
        if not self.is_alive:
            self.is_alive = True
            self.boot()

    def boot(self) -> None:
        """Reset the state for a new process."""


class Store(SimulatedProcess):
    """The platform's key-value service, with only one head and its chunks."""

    def __init__(self, world: World) -> None:
        super().__init__(world, 'store', 'platform')
        self.head = None
        self.revision = 0
        self.chunks: dict[str, bytes] = {}
        self.history: dict[int, bytes] = {}
        self.is_down = False
        self.loses_answers = False
        self.delay = 0
        self.writes = 0

    def read(self, daemon, answer) -> None:
        """Answer with the head and its chunks, or ``None`` at a timeout."""
        self._call(
            daemon,
            lambda: (self.head, self.revision, dict(self.chunks)),
            answer,
        )

    def write_chunk(self, daemon, chunk, answer) -> None:
        """Write a chunk; answer its digest, or ``None`` at a timeout."""

        def apply():
            self.writes += 1
            self.chunks[chunk.digest] = chunk.content
            return chunk.digest

        self._call(daemon, apply, answer)

    def swap(self, daemon, effect, content: bytes, answer) -> None:
        """Swap the head; answer the new revision, or ``'refused'``."""

        def apply():
            self.writes += 1
            current = self.revision if self.head else None
            if effect.revision != current:
                return 'refused'
            self.head = content
            self.revision += 7
            self.history[effect.head.version] = content
            return self.revision

        self._call(daemon, apply, answer, is_write=True)

    def _call(self, daemon, apply, answer, *, is_write: bool = False) -> None:
        waiting = [True]

        def settle(outcome):
            if waiting:
                waiting.clear()
                answer(outcome)

        def serve():
            if self.is_down:
                return
            outcome = apply()
            if not (is_write and self.loses_answers):
                self.world.send(self, daemon, lambda: settle(outcome))

        def arrive():
            self.later(self.delay, serve)

        self.world.send(daemon, self, arrive)
        daemon.later(TIMEOUT_S, lambda: settle(None))
