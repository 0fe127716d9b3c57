"""Recent load per key, from the arrivals of a sliding window."""

from collections import deque
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds, ShardKey

# The sliding window is as long as it takes for this many arrivals a target, in
# these bounds, in seconds: a short window follows a hot spot sooner, and a long
# one keeps random variation from moving keys.
ARRIVALS_PER_TARGET = 4
MIN_WINDOW_S = 0.5
MAX_WINDOW_S = 2.0
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
    """The arrivals of the last seconds.

    Attributes
    ----------
    arrivals
        Requests with their expected cost.
    corrections
        Measured less expected cost of requests that have ended, at their end.
    """

    arrivals: 'deque[Arrival]' = field(
        default_factory=lambda: deque(maxlen=MAX_ARRIVALS)
    )
    corrections: 'deque[Arrival]' = field(
        default_factory=lambda: deque(maxlen=MAX_ARRIVALS)
    )

    def record(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""
        self.arrivals.append(Arrival(now, key, cost))

    def correct(self, key: ShardKey, correction: Seconds, now: Seconds) -> None:
        """Add the part of the cost of a request that was not expected."""
        self.corrections.append(Arrival(now, key, correction))

    def by_key(
        self, now: Seconds, targets: int
    ) -> list[tuple[ShardKey, float]]:
        """Return the load of each requested key, ordered by key.

        Parameters
        ----------
        now
            The current time, in seconds.
        targets
            Number of targets that share the load.

        Returns
        -------
        list of tuple
            Key, and slot seconds per second.
        """
        while self.arrivals and self.arrivals[0].at < now - MAX_WINDOW_S:
            self.arrivals.popleft()
        window = self.window(targets)
        loads: dict[ShardKey, float] = {}
        for arrival in reversed(self.arrivals):
            if arrival.at < now - window:
                break
            cost = loads.get(arrival.key, 0)
            loads[arrival.key] = cost + arrival.cost / window
        for correction in reversed(self.corrections):
            if correction.at < now - window:
                break
            # A key without recent arrivals has no load to correct.
            cost = loads.get(correction.key)
            if cost is not None:
                cost += correction.cost / window
                loads[correction.key] = max(0, cost)
        return sorted(loads.items())

    def window(self, targets: int) -> float:
        """Return the length of the window, in seconds."""
        per_second = max(1, len(self.arrivals)) / MAX_WINDOW_S
        wanted = ARRIVALS_PER_TARGET * targets / per_second
        return min(MAX_WINDOW_S, max(MIN_WINDOW_S, wanted))
