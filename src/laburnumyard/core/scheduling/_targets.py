"""What the scheduler knows of each target: slots, failures, pauses."""

from dataclasses import dataclass

from laburnumyard.core.directory import TargetRecord, TargetState
from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._work import Outcome

# A target that failed a request is left alone this long, in seconds, twice as
# long after each further failure; short beside the 3 s of a restart.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.5
# A target that sheds is full for about the length of one run, in seconds.
SHED_PAUSE_S = 0.05
# Weight of one more outcome in the failure rate; about the last 8 count.
FAILURE_GAIN = 0.12
# Outcomes that tell that a target, or the path to it, may be gone.
LOSSES = frozenset(
    (Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.MISDIRECTED)
)
FAILURES = frozenset(
    (
        Outcome.FAILED,
        Outcome.SHED,
        Outcome.UNREACHABLE,
        Outcome.BROKE_OFF,
        Outcome.TIMED_OUT,
    )
)


@dataclass(slots=True)
class TargetSlots:
    """One target's slots and recent outcomes.

    Parameters
    ----------
    record
        Its newest entry in the directory.
    """

    record: TargetRecord
    running: int = 0
    failure_rate: float = 0
    losses: int = 0
    paused_until: float = 0

    def has_room(self, now: Seconds) -> bool:
        """Whether a request may be sent to it now."""
        if self.record.state is TargetState.DRAINING:
            return False
        if now < self.paused_until:
            return False
        # A target that was lost is tried with one request at a time.
        room = 1 if self.losses else self.record.slots
        return self.running < room

    def note(
        self, outcome: Outcome, now: Seconds, *, is_counted_whole: bool
    ) -> None:
        """Take in how a request ended; it no longer counts as running.

        Parameters
        ----------
        outcome
            How.
        now
            The time.
        is_counted_whole
            Whether ``running`` counts all requests at the target.
        """
        failed = outcome in FAILURES
        self.failure_rate += FAILURE_GAIN * (failed - self.failure_rate)
        if outcome in LOSSES:
            self.losses += 1
            pause = FIRST_PAUSE_S * 2 ** min(self.losses, 6)
            self.paused_until = Seconds(now + min(LONGEST_PAUSE_S, pause))
        elif outcome is Outcome.SHED:
            # A target that sheds beside free slots does so by chance; a pause
            # would only take these slots away.
            if not is_counted_whole or self.running + 1 >= self.record.slots:
                self.paused_until = Seconds(now + SHED_PAUSE_S)
        elif outcome in {Outcome.ANSWERED, Outcome.FAILED}:
            self.losses = 0
