"""Garbage-collects assignment chunks that no head refers to."""

from collections.abc import Iterator, Mapping

import anyio

from laburnumyard.clocks import boot_time, random_fraction
from laburnumyard.core import ownership
from laburnumyard.core.ids import ServiceName
from laburnumyard.daemon._assignment_store import AssignmentStore
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.telemetry._log import Event, log_event

SCAN_INTERVAL_S = 60.0
# Pause between deletions, which leaves the call budget to lease managers.
DELETE_INTERVAL_S = 1.0


class ChunkGarbageCollector:
    """Deletes unused chunks of the services that this daemon collects.

    The collector of a service is the lease manager of its first scope in the
    order of names. Two concurrent collectors are safe: a conditional delete
    succeeds for one of them only.

    Parameters
    ----------
    view
        Provides the assignment heads.
    stores
        Assignment stores of the services that this daemon may manage.
    """

    def __init__(
        self,
        view: ClusterView,
        stores: Mapping[ServiceName, AssignmentStore],
    ) -> None:
        """Initialise with no scan made."""
        self.view = view
        self.stores = stores
        self.unused: dict[ServiceName, ownership.UnusedChunks] = {}

    async def run(self) -> None:
        """Scan periodically until cancelled."""
        while True:
            # Jitter: daemons started together must not scan together.
            await anyio.sleep(SCAN_INTERVAL_S * (1 + random_fraction()))
            for service in tuple(self.services_to_collect()):
                await self.collect(service)

    def services_to_collect(self) -> Iterator[ServiceName]:
        """Yield the services whose chunks this daemon collects."""
        for service, snapshot in self.view.snapshots.items():
            scopes = snapshot.head.scopes
            first = scopes[min(scopes)] if scopes else None
            is_collected_here = first is not None and (
                first.manager == self.view.name
                and first.incarnation == self.view.incarnation
            )
            if is_collected_here and service in self.stores:
                yield service
            else:
                self.unused.pop(service, None)

    async def collect(self, service: ServiceName) -> None:
        """Scan one service's chunks and delete the unused ones."""
        store = self.stores[service]
        listed = await store.list_chunks()
        if listed.is_error():
            log_event(
                Event.STORE,
                'WARNING',
                service=service,
                unlisted=listed.error.detail,
            )
            return
        unused = self.unused.setdefault(service, ownership.UnusedChunks())
        snapshot = self.view.snapshots[service]
        deletable = unused.select_deletable(listed.ok, snapshot, boot_time())
        deleted = 0
        for chunk in deletable:
            outcome = await store.delete_chunk(chunk)
            deleted += outcome.is_ok()
            await anyio.sleep(DELETE_INTERVAL_S)
        if deletable:
            log_event(
                Event.STORE,
                service=service,
                unused=len(deletable),
                deleted=deleted,
            )
