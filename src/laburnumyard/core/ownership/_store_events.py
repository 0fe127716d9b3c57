"""Events about the answers of the store."""

from dataclasses import dataclass

from laburnumyard.core.ids import ChangeId, Seconds
from laburnumyard.core.ownership._head import Snapshot


@dataclass(frozen=True, slots=True)
class HeadRead:
    """A head from the store or a peer.

    Parameters
    ----------
    snapshot
        The head with its assignment; ``None`` if the store has none.
    asked_at
        When the store was asked, in seconds of the manager's clock; ``None``
        for a head from a peer, which may be outdated.
    """

    snapshot: Snapshot | None
    asked_at: Seconds | None


@dataclass(frozen=True, slots=True)
class HeadUnreadable:
    """The store gave no usable answer to a ``ReadHead``."""


@dataclass(frozen=True, slots=True)
class SwapDone:
    """The store has applied a swap.

    Parameters
    ----------
    change
        The id of the change in the ``SwapHead``.
    revision
        The store's new revision of the head.
    """

    change: ChangeId
    revision: int


@dataclass(frozen=True, slots=True)
class SwapRefused:
    """The store refused a swap because the head had another revision."""

    change: ChangeId


@dataclass(frozen=True, slots=True)
class SwapUnknown:
    """It is unknown whether the store applied a swap."""

    change: ChangeId


SwapAnswer = SwapDone | SwapRefused | SwapUnknown
