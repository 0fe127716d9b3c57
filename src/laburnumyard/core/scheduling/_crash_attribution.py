"""Attributes crashes of targets to the requests that they were running."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from functools import partial

from laburnumyard.core.ids import DaemonName, Seconds, TargetName
from laburnumyard.core.quarantine import Fingerprint, Quarantine, death_id
from laburnumyard.core.scheduling._work import Outcome, Work
from laburnumyard.core.target_directory import TargetLife

# A request broken off less than this many seconds before the end of its target
# may have crashed the target.
CRASH_WINDOW_S = 1.5
# Broken-off requests remembered per target, which has few slots.
MAX_BROKEN_OFF_REQUESTS = 16
# Reporter of all deaths; one scheduler sees all requests of its service.
DEATH_REPORTER = DaemonName('scheduler')


@dataclass(frozen=True, slots=True)
class BrokenOffRequest:
    """A request whose connection the target closed without an answer."""

    at: Seconds
    fingerprint: Fingerprint


@dataclass(slots=True)
class CrashAttribution:
    """Quarantines requests that were broken off just before targets ended."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    broken_off: 'defaultdict[TargetLife, deque[BrokenOffRequest]]' = field(
        default_factory=partial(
            defaultdict, partial(deque, maxlen=MAX_BROKEN_OFF_REQUESTS)
        )
    )

    def is_quarantined(self, work: Work, now: Seconds) -> bool:
        """Whether a request has crashed two targets."""
        fingerprint = Fingerprint(work.fingerprint)
        return self.quarantine.refusal(fingerprint, now) is not None

    def note(
        self, work: Work, life: TargetLife, outcome: Outcome, now: Seconds
    ) -> None:
        """Record the outcome of a request at a target."""
        if not work.fingerprint:
            return
        fingerprint = Fingerprint(work.fingerprint)
        if outcome is Outcome.BROKE_OFF:
            self.broken_off[life].append(BrokenOffRequest(now, fingerprint))
        elif outcome is Outcome.ANSWERED:
            self.quarantine.clear_suspicion(fingerprint)
        elif outcome is Outcome.UNREACHABLE:
            # The target does not listen shortly after it broke off a request.
            self.note_target_end(life, now)

    def note_target_end(
        self, life: TargetLife, now: Seconds | None = None
    ) -> None:
        """Record the end of a target instance.

        Parameters
        ----------
        life
            The target instance.
        now
            The current time, in seconds; None to count its broken-off requests
            regardless of their age.
        """
        broken_off = self.broken_off.pop(life, ())
        running = [
            each.fingerprint
            for each in broken_off
            if now is None or now - each.at < CRASH_WINDOW_S
        ]
        if not running:
            return
        death = death_id(
            TargetName(life.target), DEATH_REPORTER, str(life.started_at_ms)
        )
        last = max(each.at for each in broken_off)
        self.quarantine.note_death(death, running, last)
