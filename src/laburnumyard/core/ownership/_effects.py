"""Effects: the actions that a lease manager requests from its daemon."""

from dataclasses import dataclass

from laburnumyard.core.ids import ChangeId
from laburnumyard.core.ownership._chunks import Chunk
from laburnumyard.core.ownership._head import Head, Snapshot
from laburnumyard.core.ownership._target_messages import (
    SendGrant,
    SendRenew,
    SendSeal,
)


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head and its chunks; answer HeadRead or HeadUnreadable."""


@dataclass(frozen=True, slots=True)
class PrepareChunks:
    """Write chunks that a later swap will likely need; needs no answer.

    Parameters
    ----------
    chunks
        The chunks that the current head does not refer to.
    revision
        The revision of that head.
    """

    chunks: tuple[Chunk, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapHead:
    """Write the chunks, then swap the head.

    Existing chunks are written again unless they were written after
    ``revision``, for example by ``PrepareChunks``: the new revision protects
    them from the deletion of unused chunks. Writes in progress are awaited.
    Answer ``SwapDone``, ``SwapRefused`` or, if the store did not answer the
    swap, ``SwapUnknown``. If a chunk could not be written, answer
    ``SwapRefused``: the head is unchanged.

    Parameters
    ----------
    change
        The id of the change; a repeated id is a retry of the same swap.
    revision
        The revision that the head must have; ``None`` if it must not exist.
    head
        The new head.
    chunks
        The chunks that the old head did not refer to.
    """

    change: ChangeId
    revision: int | None
    head: Head
    chunks: tuple[Chunk, ...]


@dataclass(frozen=True, slots=True)
class AssignmentChanged:
    """The store has acknowledged an assignment: apply and disseminate it."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class OfferScope:
    """Ask another daemon, outside the scope's data centre, to take over."""


@dataclass(frozen=True, slots=True)
class Detail:
    """One key=value pair of a log line."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one log line about a placement decision.

    Parameters
    ----------
    action
        What was decided, such as ``take-over`` or ``move``.
    details
        The key=value pairs of the line.
    """

    action: str
    details: tuple[Detail, ...] = ()


Effect = (
    ReadHead
    | PrepareChunks
    | SwapHead
    | SendSeal
    | SendGrant
    | SendRenew
    | AssignmentChanged
    | OfferScope
    | LogDecision
)
