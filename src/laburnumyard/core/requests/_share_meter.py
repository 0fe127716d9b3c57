"""Rate meter of the slot time that a customer or a class uses."""

from laburnumyard.core.ids import Seconds

# Usage beyond this fraction of the burst counts as far ahead of the share.
AHEAD_FRACTION = 0.5


class ShareMeter:
    """Generic cell rate algorithm (GCRA) over occupied slot time.

    It compares usage with the configured rate. An idle period accumulates no
    credit beyond ``burst`` and reduces none.

    Parameters
    ----------
    rate
        Slot seconds granted per second.
    burst
        How far usage may run ahead of the rate, in seconds at that rate.
    """

    __slots__ = ('burst', 'rate', 'theoretical_arrival_at')

    def __init__(self, rate: float, burst: Seconds) -> None:
        """Start without usage."""
        self.rate = rate
        self.burst = burst
        # When the rate will have covered all usage so far.
        self.theoretical_arrival_at: float = 0

    def is_within(self, now: Seconds) -> bool:
        """Return whether usage is within the rate and burst."""
        return self.theoretical_arrival_at <= now + self.burst

    def is_ahead(self, now: Seconds) -> bool:
        """Return whether usage is far ahead of the rate."""
        return self.theoretical_arrival_at > now + AHEAD_FRACTION * self.burst

    def charge(self, slot_seconds: float, now: Seconds) -> None:
        """Add usage that starts now.

        Parameters
        ----------
        slot_seconds
            Expected time for which a slot will be occupied, in seconds.
        now
            The start time, in seconds.
        """
        start = max(self.theoretical_arrival_at, now)
        self.theoretical_arrival_at = start + slot_seconds / self.rate

    def correct(self, slot_seconds: float) -> None:
        """Add the difference between the actual and the expected usage."""
        self.theoretical_arrival_at += slot_seconds / self.rate
