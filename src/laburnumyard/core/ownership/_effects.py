"""What a lease manager asks its daemon to do."""

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
    """Write chunks that a later swap will most likely need; needs no answer.

    Parameters
    ----------
    chunks
        The chunks that the present head does not refer to.
    revision
        The revision of that head.
    """

    chunks: tuple[Chunk, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class SwapHead:
    """Write the chunks, then swap the head.

    Chunks are written also where they exist already, unless that was done
    after ``revision``, for example because of ``PrepareChunks``: the new
    revision keeps whoever deletes unused chunks from deleting them. One that
    is being written is waited for.
    Answer ``SwapDone``, ``SwapRefused`` or, where the store's answer to the
    swap did not come, ``SwapUnknown``. A chunk that could not be written means
    ``SwapRefused``: the head has not been touched.

    Parameters
    ----------
    change
        The id of the change; the same one again means the same swap again.
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
    """The store has acknowledged an assignment: route by it and pass it on."""

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
        The pairs of the line.
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
