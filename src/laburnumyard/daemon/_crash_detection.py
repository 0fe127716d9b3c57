"""Notices targets that die while they run a request."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clients import TargetConnection
from laburnumyard.clocks import boot_time, draw_token
from laburnumyard.core.errors import Failure
from laburnumyard.core.ids import DaemonName, Seconds, TargetName
from laburnumyard.core.requests import (
    DeathId,
    Fingerprint,
    Quarantine,
    Suspect,
    death_id,
    fingerprint_of,
)
from laburnumyard.daemon._job import Job
from laburnumyard.schema._generated.objects import Target
from laburnumyard.telemetry._log import Event, log_event

PROBE_CONNECT_TIMEOUT_S = 0.25
# How long a cancelled job is suspected of running on, and how many are.
ABANDONED_SUSPECT_S = 5.0
MAX_ABANDONED_JOBS = 64
PROBE_BODY_LIMIT_BYTES = 1024
# The pauses before each probe. The kernel of a dead process closes its
# connections and its listener one by one, so that one probe proves no life.
PROBE_DELAYS_S = (0, 0.01, 0.03)


def fingerprint(job: Job) -> Fingerprint:
    """Return what a job has in common with its resends."""
    return fingerprint_of(job.service, job.method, job.path, job.key, job.body)


def quarantine_refusal(quarantine: Quarantine, job: Job) -> Failure | None:
    """Refuse a job after whose run two targets died; mostly none has."""
    if not quarantine.records:
        return None
    return quarantine.refusal(fingerprint(job), boot_time())


@dataclass(frozen=True, slots=True)
class SuspectedJob:
    """A job that a target may have died of.

    Parameters
    ----------
    fingerprint
        The job.
    opened
        When its connection was opened, on the boot-time clock.
    abandoned_at
        When the daemon stopped to wait for its answer.
    """

    fingerprint: Fingerprint
    opened: Seconds
    abandoned_at: Seconds


class CrashDetector:
    """Holds the death of a target against the requests that it ran.

    Parameters
    ----------
    name
        This daemon.
    quarantine
        Where suspects are kept.
    tell_peers
        Passes suspects on to the other daemons.
    tasks
        Where a target is probed.
    """

    def __init__(
        self,
        name: DaemonName,
        quarantine: Quarantine,
        tell_peers: Callable[[tuple[Suspect, ...]], None],
        tasks: TaskGroup,
    ) -> None:
        """Start without a death."""
        self.name = name
        self.quarantine = quarantine
        self.tell_peers = tell_peers
        self.tasks = tasks
        self.deaths: dict[TargetName, tuple[DeathId, Seconds]] = {}

    def suspect(
        self, target: Target, suspected_jobs: Iterable[SuspectedJob]
    ) -> None:
        """Find out whether a target died, and hold it against jobs."""
        self.tasks.start_soon(self._probe, target, tuple(suspected_jobs))

    async def _probe(
        self,
        target: Target,
        suspected_jobs: tuple[SuspectedJob, ...],
    ) -> None:
        if await _has_crashed(target):
            for suspected in suspected_jobs:
                self._record_crash(TargetName(target.name), suspected)

    def _record_crash(
        self, target: TargetName, suspected: SuspectedJob
    ) -> None:
        now = boot_time()
        death = self._current_death(target, suspected.opened, now)
        fingerprints = (suspected.fingerprint,)
        suspects = self.quarantine.note_death(death, fingerprints, now)
        log_event(
            Event.QUARANTINED,
            'WARNING',
            target=target,
            death=death,
            fingerprint=suspected.fingerprint.hex(),
            reason='target-died',
        )
        self.tell_peers(suspects)

    def _current_death(
        self,
        target: TargetName,
        opened: Seconds,
        now: Seconds,
    ) -> DeathId:
        """Name a death: a new one if the target has lived since the last."""
        known = self.deaths.get(target)
        if known is None or opened > known[1]:
            known = (death_id(target, self.name, draw_token()), now)
            self.deaths[target] = known
        return known[0]


class TargetCrashMonitor:
    """What one target may die of: the jobs that it runs or has just run.

    A job that was cancelled may run on for a while, at a target that has not
    noticed it yet, so that it is suspected like those that still run.

    Parameters
    ----------
    target
        Where it is.
    crash_detector
        Finds out whether it has died.
    """

    def __init__(self, target: Target, crash_detector: CrashDetector) -> None:
        """Start without a suspicion."""
        self.target = target
        self.crash_detector = crash_detector
        self.abandoned: deque[SuspectedJob] = deque(maxlen=MAX_ABANDONED_JOBS)

    def record_abandoned(self, job: Job, opened: Seconds) -> None:
        """Note that nobody waits any longer for the answer of a job."""
        found = SuspectedJob(fingerprint(job), opened, boot_time())
        self.abandoned.append(found)

    def on_connection_broken(self, job: Job, opened: Seconds) -> None:
        """Take in that a connection ended before the answer of its job."""
        self.record_abandoned(job, opened)
        self.on_connection_refused()

    def on_connection_refused(self) -> None:
        """Take in that the target may have died of what was abandoned."""
        oldest = boot_time() - ABANDONED_SUSPECT_S
        recent = [each for each in self.abandoned if each.abandoned_at > oldest]
        self.abandoned.clear()
        if recent:
            self.crash_detector.suspect(self.target, recent)


async def _has_crashed(target: Target) -> bool:
    for pause in PROBE_DELAYS_S:
        await anyio.sleep(pause)
        opened = await TargetConnection.open(
            target.address, PROBE_BODY_LIMIT_BYTES, PROBE_CONNECT_TIMEOUT_S
        )
        if opened.is_error():
            return True
        opened.ok.close()
    return False
