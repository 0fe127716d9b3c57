"""Whether the store answers, as all of a gateway's calls saw it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import StoreError, StoreFault
from laburnumyard.telemetry import METRICS, Event, log_event

# Answers of a store that is well.
HEALTHY_STORE_FAULTS = frozenset(
    (StoreFault.CONFLICT, StoreFault.HISTORY_GONE, StoreFault.SESSION_ENDED)
)


class StoreReachability(Enum):
    """Whether the store is in reach."""

    # Before the first answer.
    UNKNOWN = 'unknown'
    REACHABLE = 'regained'
    LOST = 'lost'


@dataclass(slots=True)
class StoreHealth:
    """The newest word on the store.

    Attributes
    ----------
    reach
        Whether the last call was answered.
    since
        When that changed last.
    returned_at
        When the store came back last, None if it was never away.
    on_lost
        Called once the store is lost.
    """

    reachability: StoreReachability = StoreReachability.UNKNOWN
    since: Seconds = field(default_factory=boot_time)
    regained_at: Seconds | None = None
    on_lost: list[Callable[[], None]] = field(default_factory=list)

    @property
    def is_reachable(self) -> bool:
        """Whether the last call was answered."""
        return self.reachability is StoreReachability.REACHABLE

    def record_call(self, error: StoreError | None) -> None:
        """Take in how a call ended.

        Parameters
        ----------
        error
            What went wrong, None if it was answered.
        """
        if error is None or error.fault in HEALTHY_STORE_FAULTS:
            self._change(StoreReachability.REACHABLE, '')
        else:
            self._change(
                StoreReachability.LOST, f'{error.fault.value} {error.detail}'
            )

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
