"""Garbage collection of the chunks that no head refers to.

Revisions increase over the whole store. Before a daemon swaps the head, it
writes each chunk that the replaced head does not refer to, after that head. So
a chunk that a head does not refer to, and whose revision is below that head's,
can come into use only through a write that raises its revision. Deleting it on
condition of its revision is therefore safe at any time, even if daemons are
paused or late.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._head import Snapshot

# Seconds for which an unused chunk is kept for readers of an older head.
UNUSED_CHUNK_RETENTION_S: Seconds = 60.0
# Chunks deleted in one pass at most, which bounds its cost.
MAX_DELETED = 16


@dataclass(frozen=True, slots=True)
class StoredChunk:
    """An entry of the store's list of chunks.

    Parameters
    ----------
    digest
        The digest of its content.
    revision
        The revision of its last write.
    """

    digest: str
    revision: int


class UnusedChunks:
    """Finds the chunks of one service that can be deleted.

    It is deterministic: the time is passed in.
    """

    def __init__(self) -> None:
        """Start without known chunks."""
        self.unused_since: dict[StoredChunk, Seconds] = {}

    def select_deletable(
        self,
        listed: Iterable[StoredChunk],
        snapshot: Snapshot,
        now: Seconds,
    ) -> tuple[StoredChunk, ...]:
        """Return the chunks to delete, each only if its revision is unchanged.

        Parameters
        ----------
        listed
            All chunks of the service in the store.
        snapshot
            A head that the store has acknowledged, not necessarily the newest.
        now
            The time, in seconds.

        Returns
        -------
        tuple of StoredChunk
            At most ``MAX_DELETED`` chunks, the longest unused first.
        """
        used = frozenset(snapshot.head.chunks)
        self.unused_since = {
            chunk: self.unused_since.get(chunk, now)
            for chunk in listed
            if chunk.digest not in used and chunk.revision < snapshot.revision
        }
        aged = [
            chunk
            for chunk, since in self.unused_since.items()
            if now >= since + UNUSED_CHUNK_RETENTION_S
        ]
        aged.sort(key=lambda chunk: (self.unused_since[chunk], chunk.revision))
        return tuple(aged[:MAX_DELETED])
