"""Writes the chunks of one service's assignments."""

from collections.abc import Iterable

import anyio

from laburnumyard.clients import StoreClient, StoreErrorKind
from laburnumyard.core.ids import ServiceName
from laburnumyard.core.ownership import Chunk

# How often a chunk is written that others write or delete at the same time.
MAX_CHUNK_WRITE_ATTEMPTS = 3


def chunk_key(service: ServiceName, digest: str) -> str:
    """Return the store's key of one chunk."""
    return f'assignment/{service}/chunk/{digest}'


class ChunkWriter:
    """Writes chunks, and waits for those that are being written already.

    A chunk that is there already is written again unless that was done after
    the head that is to be replaced: its new revision keeps whoever deletes
    unused chunks from deleting it.

    Parameters
    ----------
    store
        The platform's store.
    service
        The service.

    Attributes
    ----------
    written
        The revision of each chunk that this writer has written or found.
    """

    def __init__(self, store: StoreClient, service: ServiceName) -> None:
        """Start with nothing written."""
        self.store = store
        self.service = service
        self.written: dict[str, int] = {}
        self.in_progress: dict[str, anyio.Event] = {}

    async def write_all(self, chunks: Iterable[Chunk], after: int) -> bool:
        """Write chunks at once.

        Parameters
        ----------
        chunks
            The chunks that the head to be replaced does not refer to.
        after
            The revision of that head; 0 if there is none.

        Returns
        -------
        bool
            Whether the store has each of them at a later revision.
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
        """Write one chunk unless it is there at a revision after another."""
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
