"""Takes the records that gateways keep in the store."""

from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.gateway._items import ItemCache, with_removals
from laburnumyard.gateway._ports import Item
from laburnumyard.gateway._records import (
    COORDINATORS,
    MEMBERS,
    decode_member,
)
from laburnumyard.gateway._view import Coordinator, View
from laburnumyard.telemetry import Event, log_event


class GatewayRecords:
    """Members and coordinators, as the store lists them.

    Parameters
    ----------
    view
        What is kept current.
    cache
        Keeps the items for peers.
    """

    def __init__(self, view: View, cache: ItemCache) -> None:
        """Start without any record."""
        self.view = view
        self.cache = cache

    def reset_coordinators(self, items: tuple[Item, ...]) -> None:
        """Take all coordinators; those that are missing are gone."""
        known = {
            service: coordinator.epoch
            for service, coordinator in self.view.coordinators.items()
        }
        self.take(with_removals(items, COORDINATORS, known))

    def reset_members(self, items: tuple[Item, ...]) -> None:
        """Take all members; those that are missing are gone."""
        known = dict.fromkeys(self.view.members, 0)
        self.take(with_removals(items, MEMBERS, known))

    def take(self, items: tuple[Item, ...]) -> None:
        """Take changed members and coordinators."""
        for item in items:
            self.cache.keep(item)
            if item.key.startswith(MEMBERS):
                self.take_member(item)
            elif item.key.startswith(COORDINATORS):
                self.take_coordinator(item)

    def take_member(self, item: Item) -> None:
        """Take a gateway's own record."""
        name = DaemonName(item.key.removeprefix(MEMBERS))
        if item.content is None:
            known = self.view.members.pop(name, None)
            if known:
                log_event(Event.MEMBER, member=name, state='gone')
            return
        decoded = decode_member(item.content)
        if decoded.is_error():
            self.cache.skip(item.key, decoded.error)
            return
        self.view.members[name] = decoded.ok
        log_event(
            Event.MEMBER,
            member=name,
            state='present',
            incarnation=decoded.ok.incarnation,
        )

    def take_coordinator(self, item: Item) -> None:
        """Take the coordinator of a service."""
        service = ServiceName(item.key.removeprefix(COORDINATORS))
        if item.content is None:
            self.view.drop_coordinator(service, item.revision)
            log_event(Event.COORDINATOR, service=service, state='none')
            return
        decoded = decode_member(item.content)
        if decoded.is_error():
            self.cache.skip(item.key, decoded.error)
            return
        coordinator = Coordinator(decoded.ok, item.revision)
        if self.view.take_coordinator(service, coordinator):
            log_event(
                Event.COORDINATOR,
                service=service,
                state='known',
                member=decoded.ok.name,
                epoch=item.revision,
            )
