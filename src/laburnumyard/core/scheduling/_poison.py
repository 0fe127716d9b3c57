"""Tells which requests crash the targets that run them."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from functools import partial

from laburnumyard.core.directory import TargetLife
from laburnumyard.core.ids import DaemonName, Seconds, TargetName
from laburnumyard.core.quarantine import Fingerprint, Quarantine, death_id
from laburnumyard.core.scheduling._work import Outcome, Work

# A target that is gone this soon after it broke off a request may have been
# crashed by it, in seconds.
CRASH_WINDOW_S = 1.5
# Requests at one target that broke off lately; it has few slots.
MOST_BROKEN = 16
# Who notices deaths; one scheduler sees all requests of its service.
OBSERVER = DaemonName('scheduler')


@dataclass(frozen=True, slots=True)
class Broken:
    """A request that a target broke off."""

    at: Seconds
    fingerprint: Fingerprint


@dataclass(slots=True)
class PoisonWatch:
    """Holds the end of a target against what it broke off just before."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    broken: 'defaultdict[TargetLife, deque[Broken]]' = field(
        default_factory=partial(defaultdict, partial(deque, maxlen=MOST_BROKEN))
    )

    def is_refused(self, work: Work, now: Seconds) -> bool:
        """Whether a request has crashed two targets."""
        fingerprint = Fingerprint(work.fingerprint)
        return self.quarantine.refusal(fingerprint, now) is not None

    def note(
        self, work: Work, life: TargetLife, outcome: Outcome, now: Seconds
    ) -> None:
        """Take in how a request ended at a target."""
        if not work.fingerprint:
            return
        fingerprint = Fingerprint(work.fingerprint)
        if outcome is Outcome.BROKE_OFF:
            self.broken[life].append(Broken(now, fingerprint))
        elif outcome is Outcome.ANSWERED:
            self.quarantine.acquit(fingerprint)
        elif outcome is Outcome.UNREACHABLE:
            # Nothing listens where a request broke off a moment ago.
            self.note_end(life, now)

    def note_end(self, life: TargetLife, now: Seconds | None = None) -> None:
        """Take in that a start of a target has ended.

        Parameters
        ----------
        life
            The start.
        now
            The time, None where its last requests count whenever they were.
        """
        broken = self.broken.pop(life, ())
        running = [
            each.fingerprint
            for each in broken
            if now is None or now - each.at < CRASH_WINDOW_S
        ]
        if not running:
            return
        death = death_id(
            TargetName(life.target), OBSERVER, str(life.started_at_ms)
        )
        last = max(each.at for each in broken)
        self.quarantine.note_death(death, running, last)
