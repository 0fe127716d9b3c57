"""How many requests a target gets at once: cold start and load shedding."""

from laburnumyard.core.ids import Seconds

# Whole answers after which a cold target gets one request more at once.
COLD_STEP_ANSWERS = 16
# The same for a target that sheds: it comes back more slowly.
SHED_STEP_ANSWERS = 64
# The pause after the first refusal; each further one doubles it.
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1


class Throttle:
    """The concurrency that a target is trusted with.

    Parameters
    ----------
    slots
        How many requests the target runs at once.
    connections
        How many connections it takes.
    is_cold
        Whether it was just started.
    """

    def __init__(self, slots: int, connections: int, *, is_cold: bool) -> None:
        """Trust a warm target with all its slots, a cold one with one."""
        self.ceiling = min(slots, connections)
        self.allowed = 1 if is_cold else self.ceiling
        self.step_answers = COLD_STEP_ANSWERS
        self.answers = 0
        self.pause = FIRST_PAUSE_S
        self.paused_until = Seconds(0)

    def limit(self, now: Seconds) -> int:
        """Give how many requests may run at once."""
        if now < self.paused_until:
            return 0
        return min(self.allowed, self.ceiling)

    def resize(self, slots: int, connections: int, *, is_cold: bool) -> None:
        """Take over other limits of the target."""
        was_full = self.allowed >= self.ceiling
        self.ceiling = min(slots, connections)
        if is_cold:
            self.allowed = 1
            self.step_answers = COLD_STEP_ANSWERS
            self.answers = 0
        elif was_full:
            self.allowed = self.ceiling

    def on_answer(self) -> None:
        """Trust the target a little more."""
        if self.allowed >= self.ceiling:
            self.pause = FIRST_PAUSE_S
            return
        self.answers += 1
        if self.answers >= self.step_answers:
            self.answers = 0
            self.allowed += 1

    def on_refusal(self, now: Seconds) -> None:
        """Halve the concurrency and pause.

        Refusals of requests that were sent before the pause are one event.
        """
        if now < self.paused_until:
            return
        self.allowed = max(1, min(self.allowed, self.ceiling) // 2)
        self.step_answers = SHED_STEP_ANSWERS
        self.answers = 0
        self.paused_until = Seconds(now + self.pause)
        self.pause = min(Seconds(self.pause * 2), LONGEST_PAUSE_S)
