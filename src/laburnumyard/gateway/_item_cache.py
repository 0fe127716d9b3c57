"""Cache of store items, for gateways that do not read the store themselves."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.gateway._cluster_view import Member
from laburnumyard.gateway._platform_interface import Item
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event

# Removals are kept for peers that still list the removed targets.
MAX_REMOVED_ITEMS = 1000


@dataclass(frozen=True, slots=True)
class Progress:
    """Revisions up to which a gateway knows all items of each kind.

    Parameters
    ----------
    config, coordinators, targets
        Store revisions; 0 if the kind was not read or may be outdated. The
        configuration's covers all items of operators, also evacuations.
    """

    config: int = 0
    coordinators: int = 0
    targets: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether all kinds are known."""
        return bool(self.config and self.coordinators and self.targets)


@dataclass(slots=True)
class ItemCache:
    """The newest version of each item, including removals.

    Attributes
    ----------
    items
        Items by key; heartbeats that change nothing else are not stored.
    malformed
        Keys whose content could not be decoded; each is logged once.
    """

    items: dict[str, Item] = field(default_factory=dict)
    malformed: set[str] = field(default_factory=set)

    def update(self, item: Item) -> bool:
        """Store an item, unless the same or a newer version is known.

        Returns
        -------
        bool
            Whether the item was stored.
        """
        known = self.items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self.items.pop(item.key, None)
        self.items[item.key] = item
        if item.content is None:
            self._trim_removed()
        return True

    def log_malformed(self, key: str, problem: str) -> None:
        """Log a malformed item once."""
        if key not in self.malformed:
            self.malformed.add(key)
            log_event(Event.FAULT, 'WARNING', key=key, problem=problem)

    def select(self, is_wanted: Callable[[Item], bool]) -> tuple[Item, ...]:
        """Return the items that a predicate accepts."""
        return tuple(filter(is_wanted, self.items.values()))

    def _trim_removed(self) -> None:
        removed = [
            key for key, item in self.items.items() if item.content is None
        ]
        for key in removed[:-MAX_REMOVED_ITEMS]:
            self.items.pop(key)


def with_removals(
    items: tuple[Item, ...], prefix: str, known: Iterable[str], revision: int
) -> tuple[Item, ...]:
    """Return a full listing with a removal of each known item it lacks.

    Parameters
    ----------
    items
        All present items of a prefix.
    prefix
        Key prefix.
    known
        Names without the prefix that were listed before.
    revision
        Store revision of the listing. Gateways that know the items up to an
        earlier one still learn of the removals.
    """
    present = {item.key for item in items}
    return (
        *items,
        *(
            Item(f'{prefix}{name}', None, revision)
            for name in known
            if f'{prefix}{name}' not in present
        ),
    )


def encode_items(
    number: int,
    items: Iterable[Item],
    progress: Progress,
    milli_cores: int,
    members: Iterable[Member] = (),
) -> messages.StoredItems:
    """Return items as a message to a peer.

    Parameters
    ----------
    number
        Number of the request to answer.
    items
        Items to send.
    progress
        Revisions up to which the receiver then knows all items.
    milli_cores
        The most cores of any known gateway, in thousandths.
    members
        Some known gateways.
    """
    rows = tuple(
        messages.StoredItem(item.key, item.content or b'', item.revision)
        for item in items
    )
    return messages.StoredItems(
        number,
        rows,
        progress.targets,
        progress.config,
        progress.coordinators,
        milli_cores,
        tuple(
            messages.GatewayRef(member.name, member.address, member.incarnation)
            for member in members
        ),
    )


def decode_members(message: messages.StoredItems) -> tuple[Member, ...]:
    """Return the gateways that a peer's message names."""
    return tuple(
        Member(DaemonName(row.name), row.address, Incarnation(row.incarnation))
        for row in message.members
    )


def decode_items(message: messages.StoredItems) -> tuple[Item, ...]:
    """Return the items of a peer's message."""
    # Watched values are never empty, so empty content encodes a removal.
    return tuple(
        Item(row.key, row.content or None, row.revision)
        for row in message.items
    )


def progress_of(message: messages.StoredItems) -> Progress:
    """Return the progress that a peer's message states."""
    return Progress(
        message.config_complete_to,
        message.coordinators_complete_to,
        message.complete_to,
    )
