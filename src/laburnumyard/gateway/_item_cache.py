"""Cache of store items, for peers that cannot reach the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from laburnumyard.gateway._platform_interface import Item
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event

# Removals are kept for peers that still list the removed targets.
MAX_REMOVED_ITEMS = 1000


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

    def encode(
        self, number: int, after: int, complete_to: int
    ) -> messages.StoredItems:
        """Return the items that changed after a revision.

        Parameters
        ----------
        number
            Number of the request to answer.
        after
            Revision that the peer knows.
        complete_to
            Revision up to which all targets are known; 0 if that is stale.
        """
        rows = (
            messages.StoredItem(item.key, item.content or b'', item.revision)
            for item in self.items.values()
            if item.revision > after
        )
        return messages.StoredItems(number, tuple(rows), complete_to)

    def _trim_removed(self) -> None:
        removed = [
            key for key, item in self.items.items() if item.content is None
        ]
        for key in removed[:-MAX_REMOVED_ITEMS]:
            self.items.pop(key)


def with_removals(
    items: tuple[Item, ...], prefix: str, known: Mapping[str, int]
) -> tuple[Item, ...]:
    """Return a full listing with a removal of each known item it lacks.

    Parameters
    ----------
    items
        All present items of a prefix.
    prefix
        Key prefix.
    known
        Names without the prefix that were listed before, and the revision to
        give their removal.
    """
    present = {item.key for item in items}
    return (
        *items,
        *(
            Item(f'{prefix}{name}', None, revision)
            for name, revision in known.items()
            if f'{prefix}{name}' not in present
        ),
    )


def decode_items(message: messages.StoredItems) -> Iterable[Item]:
    """Yield the items of a peer's message."""
    for row in message.items:
        # Watched values are never empty, so empty content encodes a removal.
        yield Item(row.key, row.content or None, row.revision)
