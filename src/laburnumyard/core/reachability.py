"""Whether one gateway reaches any target at all.

Reachability belongs to a pair of gateway and target. A gateway that cannot
connect to several targets, and to none meanwhile, blames its own links: it then
asks its peers to forward requests.
"""

from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.core.ids import Seconds

# Targets that cannot be reached, or requests that hang, after which the links
# of the sender are in doubt.
SUSPICIOUS_FAILURES = 2
# Time after which a request without a response counts as a sign, if no other
# request got one meanwhile.
SILENCE_S = 0.3
# Failures older than this are no sign.
FAILURE_AGE_S = 2.0
# Part of the probes that must connect before targets count as reached again.
REGAIN_FRACTION = 0.5


@dataclass(slots=True)
class RecentFailures:
    """Targets that one sender has lately failed to reach.

    Attributes
    ----------
    failed_at
        Time of the last failure, by target.
    """

    failed_at: dict[str, Seconds] = field(default_factory=dict)

    def note(self, target: str, now: Seconds) -> None:
        """Record that a target could not be reached."""
        self.failed_at[target] = now

    def clear(self) -> None:
        """Record that some target was reached."""
        self.failed_at.clear()

    def count(self, now: Seconds) -> int:
        """Return how many targets could not be reached lately."""
        return sum(
            now - failed_at < FAILURE_AGE_S
            for failed_at in self.failed_at.values()
        )


class Reach(Enum):
    """Whether targets can be reached from this gateway."""

    REACHING = 'regained'
    LOST = 'lost'


@dataclass(slots=True)
class TargetReach:
    """Evidence from the connections of one gateway.

    Attributes
    ----------
    state
        Current state; only probes change it.
    failures
        Addresses to which no connection could be opened since the last one that
        was. Responses do not count: open connections may outlive the links.
    pending
        Send time of each request without a response, by a number of its own.
    reached_at
        Time of the last response or new connection.
    """

    state: Reach = Reach.REACHING
    failures: RecentFailures = field(default_factory=RecentFailures)
    pending: dict[int, Seconds] = field(default_factory=dict)
    reached_at: float = 0

    @property
    def is_lost(self) -> bool:
        """Whether no target can be reached."""
        return self.state is Reach.LOST

    def note_failure(self, address: str, now: Seconds) -> None:
        """Record that a connection to an address could not be opened."""
        self.failures.note(address, now)

    def note_connected(self, now: Seconds) -> None:
        """Record that a connection was opened."""
        self.failures.clear()
        self.reached_at = now

    def note_response(self, now: Seconds) -> None:
        """Record a response."""
        self.reached_at = now

    def note_sent(self, number: int, now: Seconds) -> None:
        """Record a request that was written to a connection."""
        self.pending[number] = now

    def note_ended(self, number: int) -> None:
        """Record the end of a request, with a response or without."""
        self.pending.pop(number, None)

    def needs_probe(self, now: Seconds) -> bool:
        """Whether there is reason to doubt that any target is reached."""
        if self.is_lost:
            return True
        silent = sum(
            self.reached_at < sent_at < now - SILENCE_S
            for sent_at in self.pending.values()
        )
        return self.failures.count(now) + silent >= SUSPICIOUS_FAILURES

    def note_probes(self, connected: int, probes: int, now: Seconds) -> bool:
        """Record the result of a round of probes.

        Parameters
        ----------
        connected, probes
            How many of how many probes have connected.
        now
            The current time, in seconds.

        Returns
        -------
        bool
            Whether the state has changed.
        """
        before = self.state
        if connected and connected >= probes * REGAIN_FRACTION:
            self.state = Reach.REACHING
            self.note_connected(now)
        elif probes and not connected:
            self.state = Reach.LOST
        return self.state is not before
