"""Tells when a process was paused, and for how long it knows too little.

A paused gateway misses evacuations and targets that turn cold. What it has
received meanwhile is read within a moment of its return.
"""

import math

from laburnumyard.core.ids import Seconds

# Interval at which the process notes that it runs. Each wake-up of an idle
# gateway costs processor time.
NOTE_INTERVAL_S = 0.4
# A busy gateway is late by less than this.
PAUSE_S = 1.0
# Time after a pause in which a gateway reads what it has missed: answers that
# wait in its sockets, and one more fetch of a follower.
CATCH_UP_S = 0.5


class PauseDetector:
    """Detects pauses from the times at which the process was seen to run.

    Attributes
    ----------
    seen_at
        When the process was last seen to run, in seconds.
    behind_until
        Time until which it catches up after a pause, in seconds.
    """

    def __init__(self) -> None:
        """Create a detector that has seen nothing."""
        self.seen_at = math.inf
        self.behind_until = -math.inf

    def note(self, now: Seconds) -> bool:
        """Note that the process runs now; return whether it was paused."""
        has_paused = now - self.seen_at > PAUSE_S
        if has_paused:
            self.behind_until = now + CATCH_UP_S
        self.seen_at = now
        return has_paused

    def time_behind(self, now: Seconds) -> float:
        """Return how long the process still catches up, in seconds."""
        return max(0, self.behind_until - now)
