"""Recent load per key, from the arrivals of a sliding window."""

from collections import deque
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds, ShardKey

# Length of the sliding window, in seconds: some fifty arrivals at the users'
# rates; 1 s detected hot spots later and lost 1.5 % of the value of a wave.
WINDOW_S = 0.5
# Bounds the memory used in a burst; the oldest arrivals are dropped first.
MAX_ARRIVALS = 8192


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request for a key.

    Parameters
    ----------
    at
        When it arrived, in seconds.
    key
        The key.
    cost
        Its slot time at a target of pace 1, in seconds.
    """

    at: Seconds
    key: ShardKey
    cost: Seconds


@dataclass(slots=True)
class KeyLoad:
    """The arrivals of the last seconds."""

    arrivals: 'deque[Arrival]' = field(
        default_factory=lambda: deque(maxlen=MAX_ARRIVALS)
    )

    def record(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""
        self.arrivals.append(Arrival(now, key, cost))

    def by_key(self, now: Seconds) -> list[tuple[ShardKey, float]]:
        """Return the load of each requested key, ordered by key.

        Returns
        -------
        list of tuple
            Key, and slot seconds per second.
        """
        while self.arrivals and self.arrivals[0].at < now - WINDOW_S:
            self.arrivals.popleft()
        loads: dict[ShardKey, float] = {}
        for arrival in self.arrivals:
            cost = loads.get(arrival.key, 0)
            loads[arrival.key] = cost + arrival.cost / WINDOW_S
        return sorted(loads.items())
