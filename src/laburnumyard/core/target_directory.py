"""Directory of targets, from the records that they publish."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.core.ids import DataCentre, Seconds, ServiceName, TargetId


class TargetState(Enum):
    """Whether a target accepts requests, and why not."""

    READY = 'ready'
    DRAINING = 'draining'
    # Not stated by targets: an operator has evacuated their data centre.
    EVACUATED = 'evacuated'


@dataclass(frozen=True, slots=True)
class TargetLife:
    """One process lifetime of a target.

    Parameters
    ----------
    target
        Its identifier, which may be reused after a restart.
    started_at_ms
        When it started, in milliseconds since the epoch.
    """

    target: TargetId
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target's entry in the directory.

    Parameters
    ----------
    life
        The target and its process lifetime.
    service
        The service that it runs.
    address
        ``IP:PORT``.
    data_centre
        The data centre of the target.
    slots
        Number of requests that it runs concurrently.
    state
        Whether it accepts new requests.
    warm_up_left_s
        Remaining time of slow responses after its start, in seconds.
    sequence
        Number of its writes since its start; it orders entries of one start.
    cold_until
        Time until which its responses are slow, on the clock of this gateway.
    """

    life: TargetLife
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int
    state: TargetState
    warm_up_left_s: Seconds
    sequence: int = field(default=0, compare=False)
    cold_until: Seconds = field(default=Seconds(0), compare=False)

    @property
    def target(self) -> TargetId:
        """The identifier of the target."""
        return self.life.target

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be sent to the target."""
        return self.state is TargetState.READY

    def is_cold(self, now: Seconds) -> bool:
        """Whether its responses are slow now."""
        return now < self.cold_until


Directory = Mapping[TargetId, TargetRecord]


def records_of(
    directory: Directory, service: ServiceName
) -> Iterable[TargetRecord]:
    """Yield the records of one service.

    Parameters
    ----------
    directory
        All records by target.
    service
        The service.
    """
    return (
        record for record in directory.values() if record.service == service
    )
