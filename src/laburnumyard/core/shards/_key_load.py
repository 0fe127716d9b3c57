"""Which keys were asked for lately, and what that cost."""

from collections import deque
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds, ShardKey

# How long an arrival counts, in seconds: some fifty arrivals at the users'
# rates; 1 s saw hot spots later and lost 1.5 % of the value of a wave.
WINDOW_S = 0.5
# Bounds the memory of a burst; the oldest arrivals are dropped first.
MOST_ARRIVALS = 8192


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request for a key.

    Parameters
    ----------
    at
        When it came.
    key
        The key.
    cost
        The slot time that it takes at a target of pace 1, in seconds.
    """

    at: Seconds
    key: ShardKey
    cost: Seconds


@dataclass(slots=True)
class KeyLoad:
    """The arrivals of the last seconds."""

    arrivals: 'deque[Arrival]' = field(
        default_factory=lambda: deque(maxlen=MOST_ARRIVALS)
    )

    def note(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""
        self.arrivals.append(Arrival(now, key, cost))

    def by_key(self, now: Seconds) -> list[tuple[ShardKey, float]]:
        """Return the load of each key that was asked for, by key.

        Returns
        -------
        list of tuple
            Key, and slot seconds for each second.
        """
        while self.arrivals and self.arrivals[0].at < now - WINDOW_S:
            self.arrivals.popleft()
        loads: dict[ShardKey, float] = {}
        for arrival in self.arrivals:
            cost = loads.get(arrival.key, 0)
            loads[arrival.key] = cost + arrival.cost / WINDOW_S
        return sorted(loads.items())
