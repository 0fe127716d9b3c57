"""Settings of the ownership of shard keys."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds


@dataclass(frozen=True, slots=True)
class ShardSettings:
    """Settings of the shard manager of one service.

    Parameters
    ----------
    hold_s
        Validity of a grant without renewal, in seconds. A short one frees the
        keys of an unresponsive target sooner, a long one survives the loss of
        the coordinator.
    renew_after_s
        The age at which a grant is renewed, in seconds; three renewals fit
        into a hold.
    clock_slack
        Fraction by which the clock of a target may run slow.
    transit_s
        Maximum network delay of a grant, in seconds.
    outage_hold_s
        How long a coordinator that lost the store continues to renew, in
        seconds; longer than the outages in the users' tests.
    pieces_per_target
        Number of pieces per target in the initial assignment.
    max_pieces
        Maximum number of pieces; each costs a renewal.
    moves_per_round
        Maximum number of pieces moved in one round of balancing; 10 lost 1 %
        of the value of a wave on 62 targets.
    tolerance
        Fraction by which the load of a target may exceed the mean. Loads vary
        by more than a quarter at random.
    """

    hold_s: float = 8.0
    renew_after_s: float = 2.0
    clock_slack: float = 0.02
    transit_s: float = 0.3
    outage_hold_s: float = 20.0
    pieces_per_target: int = 8
    max_pieces: int = 600
    moves_per_round: int = 30
    tolerance: float = 0.25

    @property
    def max_hold_s(self) -> Seconds:
        """Longest time that a target may hold keys after a grant was sent."""
        held = self.hold_s * (1 + self.clock_slack) + self.transit_s
        return Seconds(held)
