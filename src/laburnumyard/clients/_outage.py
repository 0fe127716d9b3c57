"""Whether the platform's service can be reached."""

from dataclasses import dataclass


@dataclass(slots=True)
class OutageDetector:
    """Notes each contact and each failure.

    Parameters
    ----------
    patience_s
        How long a failing service is not yet called down, in seconds.
    last_contact
        When the service last answered, in seconds; the start at first.
    """

    patience_s: float
    last_contact: float
    has_failed: bool = False

    def note_contact(self, now: float) -> None:
        """Note an answer of the service."""
        self.last_contact = max(now, self.last_contact)
        self.has_failed = False

    def note_failure(self) -> None:
        """Note a call that got no answer."""
        self.has_failed = True

    def is_down(self, now: float) -> bool:
        """Tell whether calls have failed for longer than the patience."""
        is_overdue = now - self.last_contact >= self.patience_s
        return self.has_failed and is_overdue
