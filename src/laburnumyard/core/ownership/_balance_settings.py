"""Settings of load balancing."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds


@dataclass(frozen=True, slots=True)
class BalanceSettings:
    """Settings of load balancing.

    Parameters
    ----------
    start_above, stop_below
        Excess of the highest utilisation of a target over the mean above
        which moves start, and below which they stop. The gap between both is
        the hysteresis.
    least_gain
        The least reduction of the highest utilisation that justifies a move.
    moves_per_s
        Refill rate of the token bucket that limits moves.
    move_burst
        Capacity of that token bucket.
    cold_busy_slots
        Busy slots below which a small range counts as cold.
    ramp_s
        How long a new target's share rises to its full slots, in seconds.
    ramp_start_share
        The share of its slots that a new target starts with.
    """

    start_above: float = 0.15
    stop_below: float = 0.05
    least_gain: float = 0.02
    moves_per_s: float = 0.2
    move_burst: float = 4
    cold_busy_slots: float = 0.01
    ramp_s: Seconds = 30.0
    ramp_start_share: float = 0.1
