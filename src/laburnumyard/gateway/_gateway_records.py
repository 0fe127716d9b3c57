"""Applies the records that gateways keep in the store."""

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import ServiceName
from laburnumyard.gateway._cluster_view import ClusterView, Coordinator
from laburnumyard.gateway._item_cache import ItemCache, with_removals
from laburnumyard.gateway._platform_interface import Item
from laburnumyard.gateway._record_encoding import (
    COORDINATOR_PREFIX,
    decode_member,
)
from laburnumyard.telemetry import Event, log_event


class GatewayRecords:
    """Updates the coordinators of the view from store items.

    Parameters
    ----------
    view
        View to update.
    cache
        Cache of the items, for peers.
    """

    def __init__(self, view: ClusterView, cache: ItemCache) -> None:
        """Create the object; nothing is read yet."""
        self.view = view
        self.cache = cache

    def apply_listing(self, items: tuple[Item, ...], revision: int) -> None:
        """Apply a full listing of coordinators; missing ones are removed."""
        known = tuple(self.view.coordinators)
        self.apply_changes(
            with_removals(items, COORDINATOR_PREFIX, known, revision)
        )

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed coordinators."""
        for item in items:
            self.cache.update(item)
            if item.key.startswith(COORDINATOR_PREFIX):
                self.adopt_coordinator(item)

    def adopt_coordinator(self, item: Item) -> None:
        """Apply the coordinator record of a service."""
        service = ServiceName(item.key.removeprefix(COORDINATOR_PREFIX))
        if item.content is None:
            self.view.drop_coordinator(service, item.revision, boot_time())
            log_event(Event.COORDINATOR, service=service, state='none')
            return
        decoded = decode_member(item.content)
        if decoded.is_error():
            self.cache.log_malformed(item.key, decoded.error)
            return
        coordinator = Coordinator(decoded.ok, item.revision)
        if self.view.adopt_coordinator(service, coordinator):
            log_event(
                Event.COORDINATOR,
                service=service,
                state='known',
                member=decoded.ok.name,
                epoch=item.revision,
            )
