"""Decides whether a target may get a request now, with one reason if not."""

import math
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Protocol

from laburnumyard.core.ids import Seconds
from laburnumyard.core.rate_limits import COLD_GRANT_LIFE_S
from laburnumyard.core.target_directory import TargetRecord, TargetState


class AdmissionReason(Enum):
    """Why a target may get a request now, or not."""

    ADMITTED = 'admitted'
    LEAVING = 'leaving'
    # An operator has evacuated its data centre.
    EVACUATED = 'evacuated'
    # It was lost, shed load or is leaving, a moment ago.
    PAUSED = 'paused'
    # It is probed with one request at a time, and one is running.
    LOST = 'lost'
    NO_FREE_SLOT = 'no-free-slot'
    RATE_LIMIT = 'rate-limit'
    # A cold target has got as many requests as it tolerates.
    COLD = 'cold'
    # The slot was granted too long ago.
    LAPSED = 'lapsed'


REASONS_BY_STATE = MappingProxyType(
    {
        TargetState.DRAINING: AdmissionReason.LEAVING,
        TargetState.EVACUATED: AdmissionReason.EVACUATED,
    }
)
# Reasons of a target with a free slot that has used up its rate.
RATE_REASONS = frozenset((AdmissionReason.RATE_LIMIT, AdmissionReason.COLD))
# Looked up for each target on each request.
READY = TargetState.READY
ADMITTED = AdmissionReason.ADMITTED


@dataclass(frozen=True, slots=True)
class Grant:
    """A slot that a scheduler granted.

    Parameters
    ----------
    granted_at
        When, on the clock of the sender; the earliest possible time if another
        gateway granted it.
    is_for_cold
        Whether it was counted against the rate of a cold target.
    """

    granted_at: float
    is_for_cold: bool


# A grant of which only the target is known; it never lapses.
UNCHECKED_GRANT = Grant(math.inf, is_for_cold=True)


class Rate(Protocol):
    """Send rate of a target."""

    def has_token(self, now: Seconds) -> bool:
        """Whether a request may be sent now."""


class TargetUse(Protocol):
    """What the decision depends on.

    Attributes
    ----------
    record
        Record of the target.
    running
        Number of requests that it runs.
    losses
        Number of losses since its last response.
    paused_until
        Time until which it gets no request, in seconds.
    has_rates
        Whether any target of the service states a limit.
    """

    record: TargetRecord
    running: int
    losses: int
    paused_until: float

    @property
    def has_rates(self) -> bool:
        """Whether any target of the service states a limit."""

    def limit_rate(self, now: Seconds) -> Rate | None:
        """Return the rate that the target states, None without one."""

    def cold_rate(self, now: Seconds) -> Rate | None:
        """Return the rate of a cold target, None without one."""


def decide_admission(target: TargetUse, now: Seconds) -> AdmissionReason:
    """Return whether a target may get a request now.

    Parameters
    ----------
    target
        The target.
    now
        The current time, in seconds.
    """
    record = target.record
    if record.state is not READY:
        return REASONS_BY_STATE[record.state]
    if now < target.paused_until:
        return AdmissionReason.PAUSED
    if target.losses:
        if target.running:
            return AdmissionReason.LOST
    elif target.running >= record.slots:
        return AdmissionReason.NO_FREE_SLOT
    if now < record.cold_until or target.has_rates:
        return _rate_reason(target, now)
    return ADMITTED


def recheck_grant(
    grant: Grant,
    record: TargetRecord,
    life_s: float | None,
    now: Seconds,
    *,
    has_cold_rate: bool,
) -> AdmissionReason:
    """Return whether a granted slot may still be used, just before the send.

    The scheduler may have known less of the target, or the sender may have been
    paused since.

    Parameters
    ----------
    grant
        The granted slot.
    record
        What the sender knows of the target.
    life_s
        How long a grant may be used, in seconds; None for no limit.
    now
        The current time, in seconds.
    has_cold_rate
        Whether cold targets of the service tolerate only so many requests.
    """
    age = now - grant.granted_at
    if record.state is not READY:
        return REASONS_BY_STATE[record.state]
    if life_s is not None and age > life_s:
        return AdmissionReason.LAPSED
    if now >= record.cold_until or not has_cold_rate:
        return ADMITTED
    if not grant.is_for_cold:
        return AdmissionReason.COLD
    return AdmissionReason.LAPSED if age > COLD_GRANT_LIFE_S else ADMITTED


def _rate_reason(target: TargetUse, now: Seconds) -> AdmissionReason:
    cold = target.cold_rate(now)
    if cold is not None and not cold.has_token(now):
        return AdmissionReason.COLD
    limit = target.limit_rate(now) if target.has_rates else None
    if limit is not None and not limit.has_token(now):
        return AdmissionReason.RATE_LIMIT
    return ADMITTED
