"""Meters that say whether a customer or a class is within its share."""

from laburnumyard.core.ids import Seconds

# Use is far ahead of the grant past this part of the burst.
AHEAD_PART = 0.5


class ShareMeter:
    """A rate meter (GCRA) over the time that slots were occupied.

    It compares what was used with what the settings grant. Silence adds
    nothing to the grant beyond ``burst`` and takes nothing away from it.

    Parameters
    ----------
    rate
        Slot seconds granted in each second.
    burst
        How far use may run ahead of the grant, in seconds of the grant.
    """

    __slots__ = ('burst', 'earned_at', 'rate')

    def __init__(self, rate: float, burst: Seconds) -> None:
        """Start with nothing used."""
        self.rate = rate
        self.burst = burst
        # When the grant will have covered all that was used.
        self.earned_at: float = 0

    def is_within(self, now: Seconds) -> bool:
        """Tell whether use is within the grant."""
        return self.earned_at <= now + self.burst

    def is_ahead(self, now: Seconds) -> bool:
        """Tell whether use is far ahead of the grant, though within it."""
        return self.earned_at > now + AHEAD_PART * self.burst

    def charge(self, slot_seconds: float, now: Seconds) -> None:
        """Count use from now on.

        Parameters
        ----------
        slot_seconds
            For how long a slot is expected to be occupied.
        now
            The time of the start.
        """
        start = max(self.earned_at, now)
        self.earned_at = start + slot_seconds / self.rate

    def correct(self, slot_seconds: float) -> None:
        """Add the difference between the real and the expected use."""
        self.earned_at += slot_seconds / self.rate
