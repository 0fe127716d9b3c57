"""Detects outages of the platform's store."""

from dataclasses import dataclass


@dataclass(slots=True)
class OutageDetector:
    """Tracks successful and failed calls to detect an outage.

    Parameters
    ----------
    outage_after_s
        Time without a response before failures count as an outage, in seconds.
    last_contact
        Time of the last response, in seconds; initially the start time.
    """

    outage_after_s: float
    last_contact: float
    has_failed: bool = False

    def note_contact(self, now: float) -> None:
        """Record a response of the service."""
        self.last_contact = max(now, self.last_contact)
        self.has_failed = False

    def note_failure(self) -> None:
        """Record a call without a response."""
        self.has_failed = True

    def is_down(self, now: float) -> bool:
        """Return whether calls have failed for at least the threshold."""
        is_overdue = now - self.last_contact >= self.outage_after_s
        return self.has_failed and is_overdue
