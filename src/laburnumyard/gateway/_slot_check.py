"""The last check before a request is sent to the target of its slot."""

from types import MappingProxyType

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.admission import (
    ADMITTED,
    AdmissionReason,
    recheck_grant,
)
from laburnumyard.core.ids import Seconds
from laburnumyard.core.pauses import NOTE_INTERVAL_S, PauseDetector
from laburnumyard.core.scheduling import Outcome
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._slot_acquisition import Slot
from laburnumyard.telemetry import METRICS

OUTCOMES = MappingProxyType(
    {
        AdmissionReason.COLD: Outcome.COLD,
        AdmissionReason.LAPSED: Outcome.LAPSED,
    }
)


class SlotCheck:
    """Checks slots against what this gateway knows of their targets.

    Parameters
    ----------
    view
        Known targets.

    Attributes
    ----------
    grant_life_s
        How long a granted slot may be used, in seconds; None for no limit.
    """

    def __init__(self, view: ClusterView) -> None:
        """Create a check without a limit on the age of grants."""
        self.view = view
        self.grant_life_s: Seconds | None = None
        self.pauses = PauseDetector()

    async def run(self) -> None:
        """Look for pauses of this process until cancelled."""
        while True:
            await anyio.sleep(NOTE_INTERVAL_S)
            self.time_behind(boot_time())

    def time_behind(self, now: Seconds) -> float:
        """Return how long this gateway catches up after a pause, in seconds.

        The first task that runs after a pause has to notice it.
        """
        if self.pauses.note(now):
            METRICS.count('pauses_total')
        return self.pauses.time_behind(now)

    async def wait_until_current(self) -> None:
        """Wait after a pause until this gateway has read what it missed."""
        if self.grant_life_s is None:
            return
        behind_s = self.time_behind(boot_time())
        if behind_s:
            await anyio.sleep(behind_s)

    def unsent_outcome(self, slot: Slot) -> Outcome | None:
        """Return why a slot may no longer be used, None if it may."""
        now = boot_time()
        is_behind = self.time_behind(now) > 0
        if self.grant_life_s is not None and is_behind:
            return Outcome.LAPSED
        record = self.view.record_of(slot.life)
        if record is None:
            is_leaving = self.view.is_leaving(slot.life)
            return Outcome.LEAVING if is_leaving else None
        reason = recheck_grant(
            slot.grant,
            record,
            self.grant_life_s,
            now,
            has_cold_rate=self.view.warm_up_per_s(record.service) > 0,
        )
        if reason is ADMITTED:
            return None
        METRICS.count('unused_slots_total', reason=reason.value)
        return OUTCOMES.get(reason, Outcome.LEAVING)
