"""Reads and writes assignments: a head and its chunks in the store."""

from dataclasses import dataclass, field

import anyio
from expression import Error, Ok, Result

from laburnumyard.clients import StoreClient, StoreError, StoreErrorKind
from laburnumyard.clocks import boot_time
from laburnumyard.core import ownership
from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.daemon._chunk_writer import ChunkWriter, chunk_key


def head_key(service: ServiceName) -> str:
    """Return the store key of a service's assignment head."""
    return f'assignment/{service}/head'


@dataclass(slots=True)
class SharedRead:
    """One read of the store, shared by all concurrent readers.

    Parameters
    ----------
    asked_at
        When the read started, on the boot-time clock.
    found
        The snapshot, None where the store has none, or the error's detail.
    done
        Set once ``found`` is known.
    """

    asked_at: Seconds
    found: Result[ownership.Snapshot | None, str] | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class AssignmentStore:
    """Reads one service's assignment and replaces it by compare-and-swap.

    Parameters
    ----------
    store
        The platform's store.
    service
        The service.
    """

    def __init__(self, store: StoreClient, service: ServiceName) -> None:
        """Initialise with no cached chunk."""
        self.store = store
        self.service = service
        self.chunks: dict[str, bytes] = {}
        self.writer = ChunkWriter(store, service)
        self.reading: SharedRead | None = None

    async def read(self) -> SharedRead:
        """Return the head with its assignment; concurrent reads are shared.

        Returns
        -------
        SharedRead
            The snapshot, None where there is none, and the time of the read.
        """
        if self.reading is None:
            return await self._read_for_all()
        shared = self.reading
        await shared.done.wait()
        return shared

    async def _read_for_all(self) -> SharedRead:
        shared = SharedRead(boot_time())
        self.reading = shared
        shared.found = await self._read()
        self.reading = None
        shared.done.set()
        return shared

    async def _read(self) -> Result[ownership.Snapshot | None, str]:
        stored = await self.store.read(head_key(self.service))
        if stored.is_error():
            return Error(stored.error.detail)
        if stored.ok is None:
            return Ok(None)
        head = ownership.decode_head(stored.ok.content)
        if head.is_error():
            return Error(head.error.detail)
        await self._fetch_chunks(head.ok)
        assignment = ownership.assemble(self.service, head.ok, self.chunks)
        return assignment.map_error(lambda problem: problem.detail).map(
            lambda found: ownership.Snapshot(
                head.ok, found, stored.ok.revision
            ),
        )

    async def swap(
        self,
        effect: ownership.SwapHead,
    ) -> ownership.SwapDone | ownership.SwapRefused | ownership.SwapUnknown:
        """Write the chunks, then the head; return the manager's event."""
        if not await self.writer.write_all(effect.chunks, effect.revision or 0):
            return ownership.SwapRefused(effect.change)
        for chunk in effect.chunks:
            self.chunks[chunk.digest] = chunk.content
        head = ownership.encode_head(effect.head)
        key = head_key(self.service)
        swapped = await self.store.write(key, head, effect.revision)
        if swapped.is_ok():
            return ownership.SwapDone(effect.change, swapped.ok.revision)
        if swapped.error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            return ownership.SwapUnknown(effect.change)
        return ownership.SwapRefused(effect.change)

    async def list_chunks(
        self,
    ) -> Result[tuple[ownership.StoredChunk, ...], StoreError]:
        """Return all stored chunks of the service, used and unused."""
        prefix = chunk_key(self.service, '')
        listed = await self.store.keys(prefix)
        return listed.map(
            lambda keys: tuple(
                ownership.StoredChunk(
                    found.key.removeprefix(prefix), found.revision
                )
                for found in keys
            ),
        )

    async def delete_chunk(
        self,
        chunk: ownership.StoredChunk,
    ) -> Result[None, StoreError]:
        """Delete a chunk unless it was rewritten since it was listed."""
        key = chunk_key(self.service, chunk.digest)
        return await self.store.delete(key, chunk.revision)

    async def _fetch_chunks(self, head: ownership.Head) -> None:
        known = {
            digest: self.chunks[digest]
            for digest in head.chunks
            if digest in self.chunks
        }
        self.chunks = known
        for digest in head.chunks:
            if digest in known:
                continue
            stored = await self.store.read(chunk_key(self.service, digest))
            if stored.is_ok() and stored.ok is not None:
                self.chunks[digest] = stored.ok.content
