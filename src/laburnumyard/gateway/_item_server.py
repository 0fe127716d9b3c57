"""Serves the items that this gateway reads from the store to its peers."""

import random

import anyio

from laburnumyard.gateway._item_cache import Progress, encode_items
from laburnumyard.gateway._platform_interface import Item
from laburnumyard.gateway._record_encoding import COORDINATOR_PREFIX
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.schema._generated import messages
from laburnumyard.wire import Connection

MS_PER_SECOND = 1000
# Upper bound on the wait for news that a peer may ask for.
MAX_WAIT_S = 5.0
# Gateways that are named in each answer, so that followers know of others when
# they need one to forward requests.
MEMBERS = 3


class ItemServer:
    """Answers the fetches of other gateways.

    Parameters
    ----------
    watcher
        Reads the store and caches its items.
    """

    def __init__(self, watcher: StoreWatcher) -> None:
        """Create a server without requests."""
        self.watcher = watcher

    async def serve(self, link: Connection, fetch: messages.FetchItems) -> None:
        """Answer a fetch, at once or when there is news.

        A gateway that does not read the store answers at once, so that the
        peer asks another one.
        """
        view = self.watcher.view
        view.note_cores(fetch.milli_cores)
        wait_s = min(MAX_WAIT_S, fetch.wait_ms / MS_PER_SECOND)
        with anyio.move_on_after(wait_s):
            while self.is_awaiting_news(fetch):
                await self.watcher.news.wait()
        progress = self.watcher.progress
        items = self.select_items(fetch, progress)
        known = list(view.members.values())
        members = random.sample(known, min(MEMBERS, len(known)))
        link.send(
            encode_items(
                fetch.number, items, progress, view.max_milli_cores, members
            )
        )

    def select_items(
        self, fetch: messages.FetchItems, progress: Progress
    ) -> tuple[Item, ...]:
        """Return the items that a peer needs."""
        items = self.watcher.cache.select(
            lambda item: self.is_wanted(item, fetch, progress)
        )
        if progress.config <= fetch.config_after:
            return items
        marker = self.watcher.evacuation_records.listing_marker(progress.config)
        return (*items, marker)

    def is_awaiting_news(self, fetch: messages.FetchItems) -> bool:
        """Whether there is nothing to tell a peer yet."""
        if self.watcher.is_reloading:
            return self.watcher.health.is_reachable
        return self.watcher.progress.is_complete and not self.has_news(fetch)

    def has_news(self, fetch: messages.FetchItems) -> bool:
        """Whether a peer has to learn of a change at once.

        These are a configuration, an evacuation, a coordinator, and a target
        that leaves or turns cold.
        """
        progress = self.watcher.progress
        departure = self.watcher.target_entries.departure_revision
        if fetch.after < departure <= progress.targets:
            return True
        return (
            progress.config > fetch.config_after
            or progress.coordinators > fetch.coordinators_after
        )

    def is_wanted(
        self, item: Item, fetch: messages.FetchItems, progress: Progress
    ) -> bool:
        """Whether a peer needs an item."""
        wire_format = self.watcher.platform.wire_format
        if item.key.startswith(wire_format.target_prefix):
            # A removal that is not final yet is beyond the progress.
            is_final = item.revision <= progress.targets
            return item.revision > fetch.after and (
                is_final or not progress.targets
            )
        if item.key.startswith(wire_format.operator_prefix):
            is_listed = item.content is not None and item.key.startswith(
                wire_format.evacuation_prefix
            )
            return item.revision > fetch.config_after or (
                is_listed and progress.config > fetch.config_after
            )
        if item.key.startswith(COORDINATOR_PREFIX):
            return item.revision > fetch.coordinators_after
        # A peer reads a stored assignment itself unless the store is away.
        return not progress.is_complete and item.revision > fetch.after
