"""Bounds of owning shard keys."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds


@dataclass(frozen=True, slots=True)
class ShardSettings:
    """Bounds of the owner of one service's assignment.

    Parameters
    ----------
    hold_s
        How long a grant holds without a renewal, in seconds. A short one
        frees the keys of a silent target sooner, a long one outlives a lost
        coordinator.
    renew_after_s
        The age at which a grant is renewed, in seconds; three renewals fit
        into a hold.
    clock_slack
        By which part a target's clock may run slow.
    transit_s
        How long a grant may travel, in seconds.
    outage_hold_s
        How long a coordinator that lost the store goes on renewing, in
        seconds; longer than the outages that the users play.
    pieces_per_target
        Into how many pieces the keys are cut for each target at the start.
    most_pieces
        The most pieces that are kept; each costs a renewal.
    moves_per_round
        The most pieces that move in one round of balancing; 10 lost 1 % of
        the value of a wave on 62 targets.
    tolerance
        By which part a target's load may lie above the mean. Loads of half a
        second vary by a quarter through chance alone.
    """

    hold_s: float = 8.0
    renew_after_s: float = 2.0
    clock_slack: float = 0.02
    transit_s: float = 0.3
    outage_hold_s: float = 20.0
    pieces_per_target: int = 8
    most_pieces: int = 600
    moves_per_round: int = 30
    tolerance: float = 0.25

    @property
    def longest_hold_s(self) -> Seconds:
        """How long a target may hold keys after a grant was sent."""
        held = self.hold_s * (1 + self.clock_slack) + self.transit_s
        return Seconds(held)
