"""Deletes chunks of assignments that no head refers to any more."""

from collections.abc import Iterator, Mapping

import anyio

from laburnumyard.clocks import boot_time, draw_fraction
from laburnumyard.core import ownership
from laburnumyard.core.ids import ServiceName
from laburnumyard.daemon._assignment_store import AssignmentStore
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.telemetry._log import Event, log_event

SCAN_INTERVAL_S = 60.0
# Between two deletions, so that they leave the call budget to lease managers.
DELETE_INTERVAL_S = 1.0


class ChunkGarbageCollector:
    """Looks for unused chunks of the services that this daemon cares for.

    That is the lease manager of a service's first scope in the order of
    names. Two collectors at once are safe: one of them deletes.

    Parameters
    ----------
    view
        The heads.
    stores
        The assignments of the services that this daemon may manage.
    """

    def __init__(
        self,
        view: ClusterView,
        stores: Mapping[ServiceName, AssignmentStore],
    ) -> None:
        """Start without a look."""
        self.view = view
        self.stores = stores
        self.unused: dict[ServiceName, ownership.UnusedChunks] = {}

    async def run(self) -> None:
        """Look now and then, until cancelled."""
        while True:
            # Daemons that were started together must not ask together.
            await anyio.sleep(SCAN_INTERVAL_S * (1 + draw_fraction()))
            for service in tuple(self.services_to_collect()):
                await self.collect(service)

    def services_to_collect(self) -> Iterator[ServiceName]:
        """Yield the services whose chunks this daemon looks after."""
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
        """Look at one service's chunks, and delete those to be deleted."""
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
        deletable = unused.look(listed.ok, snapshot, boot_time())
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
