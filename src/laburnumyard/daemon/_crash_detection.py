"""Detects targets that crash while they run a request."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clients import TargetConnection
from laburnumyard.clocks import boot_time, random_token
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
# How long a cancelled job is still suspected of running, and the most such
# jobs that are kept.
ABANDONED_SUSPECT_S = 5.0
MAX_ABANDONED_JOBS = 64
PROBE_BODY_LIMIT_BYTES = 1024
# Delays before the probes. The kernel closes the connections and the listener
# of a dead process one by one, so one accepted probe doesn't prove that the
# target is alive.
PROBE_DELAYS_S = (0, 0.01, 0.03)


def fingerprint(job: Job) -> Fingerprint:
    """Return the fingerprint that a job shares with its resends."""
    return fingerprint_of(job.service, job.method, job.path, job.key, job.body)


def quarantine_refusal(quarantine: Quarantine, job: Job) -> Failure | None:
    """Return the refusal of a job that crashed two targets, else None.

    Usually no crash is recorded, which saves computing the fingerprint.
    """
    if not quarantine.records:
        return None
    return quarantine.refusal(fingerprint(job), boot_time())


@dataclass(frozen=True, slots=True)
class SuspectedJob:
    """A job that may have crashed a target.

    Parameters
    ----------
    fingerprint
        Fingerprint of the job.
    opened
        When the job's connection was opened, on the boot-time clock.
    abandoned_at
        When the daemon stopped waiting for the answer, on the boot-time clock.
    """

    fingerprint: Fingerprint
    opened: Seconds
    abandoned_at: Seconds


class CrashDetector:
    """Quarantines requests that were running when a target crashed.

    Parameters
    ----------
    name
        Name of this daemon.
    quarantine
        Records the suspected requests.
    tell_peers
        Sends new suspects to the other daemons.
    tasks
        Task group in which targets are probed.
    """

    def __init__(
        self,
        name: DaemonName,
        quarantine: Quarantine,
        tell_peers: Callable[[tuple[Suspect, ...]], None],
        tasks: TaskGroup,
    ) -> None:
        """Initialise with no recorded crash."""
        self.name = name
        self.quarantine = quarantine
        self.tell_peers = tell_peers
        self.tasks = tasks
        self.deaths: dict[TargetName, tuple[DeathId, Seconds]] = {}

    def suspect(
        self, target: Target, suspected_jobs: Iterable[SuspectedJob]
    ) -> None:
        """Probe a target; if it crashed, record the jobs as suspects."""
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
        """Return the crash id; a new one if the target ran since the last."""
        known = self.deaths.get(target)
        if known is None or opened > known[1]:
            known = (death_id(target, self.name, random_token()), now)
            self.deaths[target] = known
        return known[0]


class TargetCrashMonitor:
    """Tracks the jobs that may have crashed one target.

    A cancelled job may keep running until the target notices, so it is
    suspected in the same way as the jobs that still run.

    Parameters
    ----------
    target
        The target and its address.
    crash_detector
        Probes the target and records suspects.
    """

    def __init__(self, target: Target, crash_detector: CrashDetector) -> None:
        """Initialise with no suspected job."""
        self.target = target
        self.crash_detector = crash_detector
        self.abandoned: deque[SuspectedJob] = deque(maxlen=MAX_ABANDONED_JOBS)

    def record_abandoned(self, job: Job, opened: Seconds) -> None:
        """Record a job whose answer is no longer awaited."""
        found = SuspectedJob(fingerprint(job), opened, boot_time())
        self.abandoned.append(found)

    def on_connection_broken(self, job: Job, opened: Seconds) -> None:
        """Record a job whose connection closed before its answer."""
        self.record_abandoned(job, opened)
        self.on_connection_refused()

    def on_connection_refused(self) -> None:
        """Probe the target if it may have crashed on an abandoned job."""
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
