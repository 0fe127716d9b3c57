"""Which chunks of a service's assignment can be deleted from the store.

Revisions rise over the whole store. Whoever swaps the head has written, after
the head that it replaces, each chunk that this head does not refer to. So a
chunk that some head does not refer to, and whose revision is below that head's,
can come into use only by a write that raises its revision: deleting it on
condition of its revision is safe at any time, whoever is paused or late.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._head import Snapshot

# How long an unused chunk is kept, in seconds, for readers of an older head.
KEPT_FOR: Seconds = 60.0
# The most chunks that one look gives up, so that deleting them stays cheap.
MAX_DELETED = 16


@dataclass(frozen=True, slots=True)
class StoredChunk:
    """A chunk as the store lists it.

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
    """Finds the chunks of one service that nobody needs any more.

    Deterministic: the time is passed in.
    """

    def __init__(self) -> None:
        """Start without a look."""
        self.unused_since: dict[StoredChunk, Seconds] = {}

    def look(
        self,
        listed: Iterable[StoredChunk],
        snapshot: Snapshot,
        now: Seconds,
    ) -> tuple[StoredChunk, ...]:
        """Return the chunks to delete, each if its revision is still the same.

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
            At most ``MAX_DELETED``, those unused for longest first.
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
            if now >= since + KEPT_FOR
        ]
        aged.sort(key=lambda chunk: (self.unused_since[chunk], chunk.revision))
        return tuple(aged[:MAX_DELETED])
