"""What a target's queue is told."""

from dataclasses import dataclass

from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests._requests import Arrive, CallerGone, Finished
from laburnumyard.core.requests._settings import QueueSettings


@dataclass(slots=True)
class Tick:
    """The time of the last ``WakeAt`` has come."""


@dataclass(slots=True)
class TargetSheds:
    """The target refuses work, by whichever hint."""


@dataclass(slots=True)
class CapacityChanged:
    """The target has other limits, or was started anew.

    Parameters
    ----------
    slots
        How many requests it runs at once.
    connections
        How many connections it takes.
    cold
        Whether it was just started and has to be ramped up.
    """

    slots: int
    connections: int
    cold: bool = False


@dataclass(slots=True)
class SettingsChanged:
    """A new configuration is in force."""

    settings: QueueSettings


@dataclass(slots=True)
class Drain:
    """Nothing new is taken.

    Parameters
    ----------
    kind
        What new requests are told: ``shutting-down`` of a daemon that
        leaves, ``not-owner`` for a target that leaves.
    serve_waiting
        Whether requests in the queue still run; else they are refused.
    """

    kind: ErrorKind
    serve_waiting: bool


Event = (
    Arrive
    | Finished
    | CallerGone
    | Tick
    | TargetSheds
    | CapacityChanged
    | SettingsChanged
    | Drain
)
