"""Notices targets that die while they run a request."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from laburnumyard.core.errors import Failure
from laburnumyard.core.ids import TargetName
from laburnumyard.core.requests import (
    SAME_DEATH_S,
    DeathId,
    Fingerprint,
    Quarantine,
    Suspect,
    death_id,
    fingerprint_of,
)
from laburnumyard.daemon._clock import boot_time, draw_token
from laburnumyard.daemon._jobs import Job
from laburnumyard.daemon._log import Event, log_event
from laburnumyard.platform import TargetConnection
from laburnumyard.schema._generated.objects import Target

CONNECT_TIMEOUT_S = 0.25
PROBE_BYTES = 1024
# The pauses before each probe. The kernel of a dead process closes its
# connections and its listener one by one, so that one probe proves no life.
PROBE_PAUSES_S = (0, 0.01, 0.03)


def fingerprint(job: Job) -> Fingerprint:
    """Return what a job has in common with its resends."""
    return fingerprint_of(job.service, job.method, job.path, job.key, job.body)


def quarantine_refusal(quarantine: Quarantine, job: Job) -> Failure | None:
    """Refuse a job after whose run two targets died; mostly none has."""
    if not quarantine.records:
        return None
    return quarantine.refusal(fingerprint(job), boot_time())


class DeathWatch:
    """Holds the death of a target against the requests that it ran.

    Parameters
    ----------
    quarantine
        Where suspects are kept.
    tell_peers
        Passes suspects on to the other daemons.
    tasks
        Where a target is probed.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        tell_peers: Callable[[tuple[Suspect, ...]], None],
        tasks: TaskGroup,
    ) -> None:
        """Start without a death."""
        self.quarantine = quarantine
        self.tell_peers = tell_peers
        self.tasks = tasks
        self.deaths: dict[TargetName, tuple[DeathId, float]] = {}

    def note_broken_off(self, target: Target, job: Job) -> None:
        """Find out whether a target died when a connection to it ended."""
        self.tasks.start_soon(self._probe, target, fingerprint(job))

    async def _probe(self, target: Target, suspect: Fingerprint) -> None:
        if not await _has_died(target):
            return
        now = boot_time()
        name = TargetName(target.name)
        death = self._death(name, now)
        suspects = self.quarantine.note_death(death, (suspect,), now)
        log_event(
            Event.QUARANTINED,
            'WARNING',
            target=name,
            death=death,
            fingerprint=suspect.hex(),
            reason='target-died',
        )
        self.tell_peers(suspects)

    def _death(self, target: TargetName, now: float) -> DeathId:
        known = self.deaths.get(target)
        if known is None or now - known[1] > SAME_DEATH_S:
            known = (death_id(target, draw_token()), now)
            self.deaths[target] = known
        return known[0]


async def _has_died(target: Target) -> bool:
    for pause in PROBE_PAUSES_S:
        await anyio.sleep(pause)
        opened = await TargetConnection.open(
            target.address, PROBE_BYTES, CONNECT_TIMEOUT_S
        )
        if opened.is_error():
            return True
        opened.ok.close()
    return False
