"""Identity and timing of a lease manager."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Incarnation,
    Seconds,
)
from laburnumyard.schema._generated.settings import TimingSettings


@dataclass(frozen=True, slots=True)
class ManagerSettings:
    """Identity and timing of a lease manager.

    Parameters
    ----------
    daemon
        The daemon that runs it.
    incarnation
        The incarnation of that daemon.
    data_centre
        The data centre of the targets that it manages.
    timing
        Lifetimes and intervals of the configuration.
    """

    daemon: DaemonName
    incarnation: Incarnation
    data_centre: DataCentre
    timing: TimingSettings

    @property
    def longest_grant(self) -> Seconds:
        """The longest a grant can last on this clock, in seconds."""
        timing = self.timing
        return Seconds(timing.grant_life_s * (1 + timing.clock_drift))

    @property
    def inherited_wait(self) -> Seconds:
        """The longest a previous manager's grants outlast a takeover."""
        timing = self.timing
        hold = timing.outage_hold_s * (1 + timing.clock_drift)
        return Seconds(hold + self.longest_grant)
