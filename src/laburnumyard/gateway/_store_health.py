"""Reachability of the store, derived from the results of all calls."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import StoreError, StoreFault
from laburnumyard.telemetry import METRICS, Event, log_event

# Errors that a reachable store returns.
HEALTHY_STORE_FAULTS = frozenset(
    (StoreFault.CONFLICT, StoreFault.HISTORY_GONE, StoreFault.SESSION_ENDED)
)


class StoreReachability(Enum):
    """Whether the store is reachable."""

    # Before the first call has ended.
    UNKNOWN = 'unknown'
    REACHABLE = 'regained'
    LOST = 'lost'


@dataclass(slots=True)
class StoreHealth:
    """Current reachability of the store.

    Attributes
    ----------
    reachability
        State after the last call.
    since
        Time of the last change, in seconds.
    regained_at
        End of the last outage, None without one.
    era
        Era that began with the last return of the store from an older copy; 0
        without one.
    on_lost
        Called when the store becomes unreachable.
    on_restored
        Called when it has come back from an older copy.
    """

    reachability: StoreReachability = StoreReachability.UNKNOWN
    since: Seconds = field(default_factory=boot_time)
    regained_at: Seconds | None = None
    era: int = 0
    on_lost: list[Callable[[], None]] = field(default_factory=list)
    on_restored: list[Callable[[], None]] = field(default_factory=list)

    @property
    def is_reachable(self) -> bool:
        """Whether the last call was answered."""
        return self.reachability is StoreReachability.REACHABLE

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed; False before the first one."""
        return self.reachability is StoreReachability.LOST

    def record_call(self, error: StoreError | None) -> None:
        """Record the result of a call.

        Parameters
        ----------
        error
            Error of the call, None if it succeeded.
        """
        if error is None or error.fault in HEALTHY_STORE_FAULTS:
            self._change(StoreReachability.REACHABLE, '')
        else:
            self._change(
                StoreReachability.LOST, f'{error.fault.value} {error.detail}'
            )

    def note_restored(self, era: int) -> None:
        """Record that the store has come back from an older copy."""
        self.regained_at = boot_time()
        self.era = era
        METRICS.count('store_changes_total', state='restored')
        log_event(Event.STORE, 'WARNING', state='restored', era=era)
        for callback in self.on_restored:
            callback()

    def _change(self, reachability: StoreReachability, cause: str) -> None:
        before = self.reachability
        if reachability is before:
            return
        now = boot_time()
        duration_s = now - self.since
        self.reachability = reachability
        self.since = now
        if before is StoreReachability.LOST:
            self.regained_at = now
        METRICS.count('store_changes_total', state=reachability.value)
        log_event(
            Event.STORE,
            'INFO' if self.is_reachable else 'WARNING',
            state=reachability,
            cause=cause or 'answered',
            after_s=round(duration_s, 3),
        )
        if reachability is StoreReachability.LOST:
            for callback in self.on_lost:
                callback()
