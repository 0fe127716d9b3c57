"""Writes the chunks of one service's assignments to the store."""

from collections.abc import Iterable

import anyio

from laburnumyard.clients import StoreClient, StoreErrorKind
from laburnumyard.core.ids import ServiceName
from laburnumyard.core.ownership import Chunk

# Limits the retries of a write that conflicts with concurrent writers or
# deletions of the same chunk.
MAX_CHUNK_WRITE_ATTEMPTS = 3


def chunk_key(service: ServiceName, digest: str) -> str:
    """Return the store key of one chunk."""
    return f'assignment/{service}/chunk/{digest}'


class ChunkWriter:
    """Writes chunks, and waits for writes already in progress.

    An existing chunk is rewritten unless its revision is later than that of
    the head to be replaced: the new revision makes the garbage collector's
    conditional delete fail.

    Parameters
    ----------
    store
        The platform's store.
    service
        The service.

    Attributes
    ----------
    written
        The known store revision of each chunk, by digest.
    """

    def __init__(self, store: StoreClient, service: ServiceName) -> None:
        """Initialise with no chunk written."""
        self.store = store
        self.service = service
        self.written: dict[str, int] = {}
        self.in_progress: dict[str, anyio.Event] = {}

    async def write_all(self, chunks: Iterable[Chunk], after: int) -> bool:
        """Write chunks concurrently.

        Parameters
        ----------
        chunks
            The chunks that the head to be replaced does not refer to.
        after
            The store revision of that head; 0 if there is none.

        Returns
        -------
        bool
            Whether the store has every chunk at a revision later than `after`.
        """
        wanted = tuple(chunks)
        self._forget_written_up_to(after)
        async with anyio.create_task_group() as tasks:
            for chunk in wanted:
                tasks.start_soon(self._ensure, chunk, after)
        return all(self._is_written(chunk, after) for chunk in wanted)

    def _forget_written_up_to(self, revision: int) -> None:
        self.written = {
            digest: written
            for digest, written in self.written.items()
            if written > revision
        }

    def _is_written(self, chunk: Chunk, after: int) -> bool:
        return self.written.get(chunk.digest, 0) > after

    async def _ensure(self, chunk: Chunk, after: int) -> None:
        in_progress = self.in_progress.get(chunk.digest)
        if in_progress is not None:
            await in_progress.wait()
        if not self._is_written(chunk, after):
            await self._write(chunk, after)

    async def _write(self, chunk: Chunk, after: int) -> None:
        done = anyio.Event()
        self.in_progress[chunk.digest] = done
        try:
            await self.write_chunk(chunk, after)
        finally:
            self.in_progress.pop(chunk.digest, None)
            done.set()

    async def write_chunk(self, chunk: Chunk, after: int) -> None:
        """Write one chunk unless the store has it at a later revision."""
        key = chunk_key(self.service, chunk.digest)
        expected: int | None = None
        for _ in range(MAX_CHUNK_WRITE_ATTEMPTS):
            written = await self.store.write(key, chunk.content, expected)
            if written.is_ok():
                self.written[chunk.digest] = written.ok.revision
                return
            if written.error.kind is not StoreErrorKind.CONFLICT:
                return
            found = written.error.current
            if found is not None and found.revision > after:
                self.written[chunk.digest] = found.revision
                return
            expected = found.revision if found else None
