"""A small fake of the network between daemons, in virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership import Identity
from laburnumyard.schema._generated import messages
from laburnumyard.wire import DEFAULT_LINK_SETTINGS

SAME_DATA_CENTRE_S = 0.0005
SAME_REGION_S = 0.0015
OTHER_REGION_S = 0.05
LENGTH_BYTES = 4

# Tells whether a message from the first to the second is lost.
Cut = Callable[[Identity, Identity], bool]


# When, in which order, and what is called.
Due = tuple[float, int, Callable[[], None]]


class Clock:
    """Virtual time: callbacks in the order of their time."""

    def __init__(self) -> None:
        """Start at zero with nothing to do."""
        self.now = float(0)
        self.queue: list[Due] = []
        self.order = count()

    def call_in(self, delay: float, callback: Callable[[], None]) -> None:
        """Call back after a delay in seconds."""
        entry = (self.now + delay, next(self.order), callback)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        stop = self.now + seconds
        while self.queue and self.queue[0][0] <= stop:
            due = heapq.heappop(self.queue)
            self.now = due[0]
            due[2]()
        self.now = stop


@dataclass(slots=True)
class Traffic:
    """What one daemon sent and received.

    Parameters
    ----------
    sent
        Messages sent, by type.
    sent_bytes
        Their frames, by type.
    received
        How many messages came.
    received_bytes
        The bytes of their frames.
    """

    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received: int = 0
    received_bytes: int = 0


class OpenLinks:
    """Which links the messages use; a silent one is closed.

    Attributes
    ----------
    used_at
        When each link was last used, in seconds.
    opened
        How many links were opened.
    """

    def __init__(self) -> None:
        """Start without a link."""
        self.used_at: dict[tuple[DaemonName, DaemonName], float] = {}
        self.opened = 0

    def use(
        self,
        source: DaemonName,
        destination: DaemonName,
        now: float,
    ) -> None:
        """Note that a message takes the link, which is opened if need be."""
        link = (source, destination)
        if not self.is_open(link, now):
            self.opened += 1
        self.used_at[link] = now

    def is_open(self, link: tuple[DaemonName, DaemonName], now: float) -> bool:
        """Tell whether a link was used a short time ago."""
        used_at = self.used_at.get(link)
        if used_at is None:
            return False
        return now - used_at < DEFAULT_LINK_SETTINGS.idle_close_after_s

    def count_open(self, now: float) -> int:
        """Return how many links are open."""
        return sum(self.is_open(link, now) for link in self.used_at)


class Network:
    """Delays, drops and counts messages.

    Parameters
    ----------
    clock
        The virtual time.
    draw
        A seeded source of random numbers.
    measures
        Whether each message is encoded, to count its bytes.
    """

    def __init__(self, clock: Clock, draw: Random, *, measures: bool) -> None:
        """Start without faults."""
        self.clock = clock
        self.draw = draw
        self.measures = measures
        self.cuts: list[Cut] = []
        self.loss = float(0)
        self.traffic: dict[DaemonName, Traffic] = {}
        self.links = OpenLinks()
        self.measured: tuple[messages.Message | None, int] = (None, 0)

    def passes(self, source: Identity, destination: Identity) -> bool:
        """Tell whether a message gets through."""
        if any(cut(source, destination) for cut in self.cuts):
            return False
        return not self.loss or self.draw.random() >= self.loss

    def delay(self, source: Identity, destination: Identity) -> float:
        """Return how long a message takes, in seconds."""
        jitter = 1 + self.draw.random() / 2
        if source.data_centre == destination.data_centre:
            return SAME_DATA_CENTRE_S * jitter
        if source.region == destination.region:
            return SAME_REGION_S * jitter
        return OTHER_REGION_S * jitter

    def note(
        self,
        source: DaemonName,
        destination: DaemonName,
        message: messages.Message,
    ) -> None:
        """Count a message."""
        if not self.measures:
            return
        # A pong comes back on the link of its ping.
        if not isinstance(message, messages.Pong):
            self.links.use(source, destination, self.clock.now)
        size = self.size_of(message)
        kind = type(message).__name__
        sender = self.traffic.setdefault(source, Traffic())
        sender.sent[kind] += 1
        sender.sent_bytes[kind] += size
        receiver = self.traffic.setdefault(destination, Traffic())
        receiver.received += 1
        receiver.received_bytes += size

    def size_of(self, message: messages.Message) -> int:
        """Return the bytes of the frame of a message."""
        if self.measured[0] is not message:
            size = len(messages.encode(message)) + LENGTH_BYTES
            self.measured = (message, size)
        return self.measured[1]
