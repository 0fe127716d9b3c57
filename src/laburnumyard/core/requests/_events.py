"""Events that a target's queue handles."""

from dataclasses import dataclass

from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests._requests import (
    Arrive,
    CallerDisconnected,
    Finished,
)
from laburnumyard.core.requests._settings import QueueSettings


@dataclass(slots=True)
class Tick:
    """The timer of the last ``WakeAt`` has expired."""


@dataclass(slots=True)
class TargetSheds:
    """The target is shedding load, whatever signalled it."""


@dataclass(slots=True)
class CapacityChanged:
    """The limits of the target changed, or it was restarted.

    Parameters
    ----------
    slots
        Number of requests that it runs concurrently.
    connections
        Number of connections that it accepts.
    cold
        Whether it was just started, so that its load has to be ramped up.
    """

    slots: int
    connections: int
    cold: bool = False


@dataclass(slots=True)
class SettingsChanged:
    """A new configuration has taken effect."""

    settings: QueueSettings


@dataclass(slots=True)
class Drain:
    """Stop accepting new requests.

    Parameters
    ----------
    kind
        The error for new requests: ``shutting-down`` if the daemon leaves,
        ``not-owner`` if the target leaves.
    serve_waiting
        Whether waiting requests still run; otherwise they are refused.
    """

    kind: ErrorKind
    serve_waiting: bool


Event = (
    Arrive
    | Finished
    | CallerDisconnected
    | Tick
    | TargetSheds
    | CapacityChanged
    | SettingsChanged
    | Drain
)
