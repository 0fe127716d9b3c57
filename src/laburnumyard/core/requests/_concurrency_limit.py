"""Adaptive concurrency limit of a target: slow start and load shedding."""

from laburnumyard.core.ids import Seconds

# Complete answers after which the limit of a cold target grows by one.
COLD_STEP_ANSWERS = 16
# The same for a target that shed load, which recovers more slowly.
SHED_STEP_ANSWERS = 64
# Pause after the first refusal; each further refusal doubles it.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1


class ConcurrencyLimiter:
    """Limit on the concurrent requests to a target.

    Parameters
    ----------
    slots
        Number of requests that the target runs concurrently.
    connections
        Number of connections that it accepts.
    is_cold
        Whether it was just started.
    """

    def __init__(self, slots: int, connections: int, *, is_cold: bool) -> None:
        """Start at the full limit, or at 1 for a cold target."""
        self.max_limit = min(slots, connections)
        self.current_limit = 1 if is_cold else self.max_limit
        self.step_answers = COLD_STEP_ANSWERS
        self.answers = 0
        self.pause = FIRST_PAUSE_S
        self.paused_until = Seconds(0)

    def limit(self, now: Seconds) -> int:
        """Return the number of requests that may run concurrently."""
        if now < self.paused_until:
            return 0
        return min(self.current_limit, self.max_limit)

    def resize(self, slots: int, connections: int, *, is_cold: bool) -> None:
        """Apply new limits of the target."""
        was_at_max = self.current_limit >= self.max_limit
        self.max_limit = min(slots, connections)
        if is_cold:
            self.current_limit = 1
            self.step_answers = COLD_STEP_ANSWERS
            self.answers = 0
        elif was_at_max:
            self.current_limit = self.max_limit

    def on_answer(self) -> None:
        """Count a complete answer and raise the limit after enough of them."""
        if self.current_limit >= self.max_limit:
            self.pause = FIRST_PAUSE_S
            return
        self.answers += 1
        if self.answers >= self.step_answers:
            self.answers = 0
            self.current_limit += 1

    def on_refusal(self, now: Seconds) -> None:
        """Halve the limit and pause.

        Refusals during a pause belong to requests sent before it and count
        as one event.
        """
        if now < self.paused_until:
            return
        self.current_limit = max(
            1, min(self.current_limit, self.max_limit) // 2
        )
        self.step_answers = SHED_STEP_ANSWERS
        self.answers = 0
        self.paused_until = Seconds(now + self.pause)
        self.pause = min(Seconds(self.pause * 2), MAX_PAUSE_S)
