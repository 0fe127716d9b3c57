"""When ranges move because of load."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds


@dataclass(frozen=True, slots=True)
class BalanceSettings:
    """When ranges move because of load.

    Parameters
    ----------
    start_above, stop_below
        How far above the mean the utilisation of the busiest target must be
        for moves to begin, and below which they end again. The gap between
        both is the hysteresis.
    least_gain
        The least fall of the highest utilisation that is worth a move.
    moves_per_s
        The budget of moves.
    move_burst
        How many moves may be made at once.
    cold_busy
        Slots below which a small range counts as cold.
    ramp
        How long a target that has just come is given less, in seconds.
    ramp_floor
        The share of its slots that counts at first.
    """

    start_above: float = 0.15
    stop_below: float = 0.05
    least_gain: float = 0.02
    moves_per_s: float = 0.2
    move_burst: float = 4
    cold_busy: float = 0.01
    ramp: Seconds = 30.0
    ramp_floor: float = 0.1
