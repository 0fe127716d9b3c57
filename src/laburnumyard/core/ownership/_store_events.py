"""What the store answers to a lease manager."""

from dataclasses import dataclass

from laburnumyard.core.ids import ChangeId, Seconds
from laburnumyard.core.ownership._head import Snapshot


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head as the store or a peer gave it.

    Parameters
    ----------
    snapshot
        The head with its assignment; ``None`` if the store has none.
    asked_at
        When the store was asked, on the clock of ``now``; ``None`` for a head
        that a peer passed on, which proves nothing about the present.
    """

    snapshot: Snapshot | None
    asked_at: Seconds | None


@dataclass(frozen=True, slots=True)
class HeadUnreadable:
    """The store gave no usable answer to a ``ReadHead``."""


@dataclass(frozen=True, slots=True)
class SwapDone:
    """The store has made a swap.

    Parameters
    ----------
    change
        The change of the ``SwapHead``.
    revision
        The store's new revision of the head.
    """

    change: ChangeId
    revision: int


@dataclass(frozen=True, slots=True)
class SwapRefused:
    """The store refused a swap: the head had another revision."""

    change: ChangeId


@dataclass(frozen=True, slots=True)
class SwapUnknown:
    """Nobody can tell whether the store made a swap."""

    change: ChangeId


SwapAnswer = SwapDone | SwapRefused | SwapUnknown
