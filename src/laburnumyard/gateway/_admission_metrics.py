"""Gauges of the targets of a coordinated service, by admission reason."""

from collections import Counter
from collections.abc import Iterable

from laburnumyard.core.admission import AdmissionReason
from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.core.scheduling import TargetSlots
from laburnumyard.telemetry import METRICS

# Interval between reports, in seconds; a look at all targets is not cheap.
REPORT_INTERVAL_S = 1.0
# Only for the check of a slot before the send.
COUNTED_REASONS = tuple(
    reason for reason in AdmissionReason if reason is not AdmissionReason.LAPSED
)


def report_admission(
    service: ServiceName, targets: Iterable[TargetSlots], now: Seconds
) -> None:
    """Set the gauges of a service.

    Parameters
    ----------
    service
        Name of the service.
    targets
        Its targets; none if this gateway does not coordinate it any more.
    now
        The current time, in seconds.
    """
    counts = Counter(slots.admission(now) for slots in targets)
    for reason in COUNTED_REASONS:
        METRICS.set_gauge(
            'targets', counts[reason], service=service, reason=reason.value
        )
