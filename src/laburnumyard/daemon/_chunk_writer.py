"""Writes the chunks of one service's assignments, each once."""

from collections.abc import Callable, Iterable

import anyio

from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.core.ownership import Chunk
from laburnumyard.platform import StoreClient, StoreError, StoreErrorKind

# How long after its write a chunk need not be written again. Whoever deletes
# unused chunks leaves them for longer.
REUSED_S = 30.0


def chunk_key(service: ServiceName, digest: str) -> str:
    """Return the store's key of one chunk."""
    return f'assignment/{service}/chunk/{digest}'


class ChunkWriter:
    """Writes chunks, and waits for those that are being written already.

    Parameters
    ----------
    store
        The platform's store.
    service
        The service.
    clock
        Reads the time, in seconds.
    """

    def __init__(
        self,
        store: StoreClient,
        service: ServiceName,
        clock: Callable[[], Seconds],
    ) -> None:
        """Start with nothing written."""
        self.store = store
        self.service = service
        self.clock = clock
        self.written_at: dict[str, Seconds] = {}
        self.under_way: dict[str, anyio.Event] = {}

    async def write_all(self, chunks: Iterable[Chunk]) -> bool:
        """Write chunks at once; tell whether the store has all of them."""
        wanted = tuple(chunks)
        self._forget_old()
        async with anyio.create_task_group() as tasks:
            for chunk in wanted:
                tasks.start_soon(self._ensure, chunk)
        return all(chunk.digest in self.written_at for chunk in wanted)

    def _forget_old(self) -> None:
        oldest = self.clock() - REUSED_S
        self.written_at = {
            digest: moment
            for digest, moment in self.written_at.items()
            if moment > oldest
        }

    async def _ensure(self, chunk: Chunk) -> None:
        under_way = self.under_way.get(chunk.digest)
        if under_way is not None:
            await under_way.wait()
        if chunk.digest not in self.written_at:
            await self._write(chunk)

    async def _write(self, chunk: Chunk) -> None:
        done = anyio.Event()
        self.under_way[chunk.digest] = done
        try:
            await self._put(chunk)
        finally:
            self.under_way.pop(chunk.digest, None)
            done.set()

    async def _put(self, chunk: Chunk) -> None:
        moment = self.clock()
        key = chunk_key(self.service, chunk.digest)
        written = await self.store.write(key, chunk.content, None)
        if written.is_ok() or _exists(written.error):
            self.written_at[chunk.digest] = moment


def _exists(error: StoreError) -> bool:
    # A chunk's key is the digest of its content: whoever wrote it wrote this.
    return error.kind is StoreErrorKind.CONFLICT
