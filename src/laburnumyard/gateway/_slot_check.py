"""The last check before a request is sent to the target of its slot."""

from types import MappingProxyType

from laburnumyard.clocks import boot_time
from laburnumyard.core.admission import (
    ADMITTED,
    AdmissionReason,
    recheck_grant,
)
from laburnumyard.core.ids import Seconds
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

    def unsent_outcome(self, slot: Slot) -> Outcome | None:
        """Return why a slot may no longer be used, None if it may."""
        record = self.view.record_of(slot.life)
        if record is None:
            is_leaving = self.view.is_leaving(slot.life)
            return Outcome.LEAVING if is_leaving else None
        reason = recheck_grant(
            slot.grant, record, self.grant_life_s, boot_time()
        )
        if reason is ADMITTED:
            return None
        METRICS.count('unused_slots_total', reason=reason.value)
        return OUTCOMES.get(reason, Outcome.LEAVING)
