"""Whether the store answers, as all of a gateway's calls saw it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._ports import StoreError, StoreFault
from laburnumyard.telemetry import METRICS, Event, log_event

# Answers of a store that is well.
ANSWERS = frozenset(
    (StoreFault.CONFLICT, StoreFault.HISTORY_GONE, StoreFault.SESSION_ENDED)
)


class Reach(Enum):
    """Whether the store is in reach."""

    # Before the first answer.
    UNKNOWN = 'unknown'
    REACHED = 'regained'
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

    reach: Reach = Reach.UNKNOWN
    since: Seconds = field(default_factory=boot_time)
    returned_at: Seconds | None = None
    on_lost: list[Callable[[], None]] = field(default_factory=list)

    @property
    def is_reached(self) -> bool:
        """Whether the last call was answered."""
        return self.reach is Reach.REACHED

    def note(self, error: StoreError | None) -> None:
        """Take in how a call ended.

        Parameters
        ----------
        error
            What went wrong, None if it was answered.
        """
        if error is None or error.fault in ANSWERS:
            self._change(Reach.REACHED, '')
        else:
            self._change(Reach.LOST, f'{error.fault.value} {error.detail}')

    def _change(self, reach: Reach, cause: str) -> None:
        before = self.reach
        if reach is before:
            return
        now = boot_time()
        lasted = now - self.since
        self.reach = reach
        self.since = now
        if before is Reach.LOST:
            self.returned_at = now
        METRICS.count('store_changes_total', state=reach.value)
        log_event(
            Event.STORE,
            'INFO' if self.is_reached else 'WARNING',
            state=reach,
            cause=cause or 'answered',
            after_s=round(lasted, 3),
        )
        if reach is Reach.LOST:
            for tell in self.on_lost:
                tell()
