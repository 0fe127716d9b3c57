"""Watches the store: items of operators, targets and coordinators."""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import partial

import anyio

from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._evacuation_records import EvacuationRecords
from laburnumyard.gateway._gateway_records import GatewayRecords
from laburnumyard.gateway._item_cache import ItemCache, Progress
from laburnumyard.gateway._platform_interface import Item, Platform, StoreFault
from laburnumyard.gateway._record_encoding import (
    ASSIGNMENT_PREFIX,
    COORDINATOR_PREFIX,
    assignment_key,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._target_entries import TargetEntries
from laburnumyard.gateway._task_supervision import SupervisedTasks
from laburnumyard.telemetry import Event, log_event

# Long polls keep the number of calls low. TCP keep-alive detects a silent
# connection well before they end.
LONG_POLL_S = 20.0
# Pause that batches coordinator changes of several services; requests wait
# 0.15 s for a coordinator.
COORDINATOR_BATCH_S = 0.1
# Targets write about once a second and each write would end a watch, so the
# pauses below batch their changes.
SHORT_POLL_S = 0.5
COORDINATOR_PAUSE_S = 0.4
# Its followers hear of a leaving target one trip later.
NON_COORDINATOR_PAUSE_S = 1.0
# Interval between reads of stored assignments. They are only needed when
# coordinator and store are lost at once, and change little until then.
ASSIGNMENT_INTERVAL_S = 20.0
# Pause after a failed call: an outage costs few calls, and a coordinator
# notices its end well within a second.
RETRY_PAUSE_S = 0.3
# The same for a gateway that coordinates nothing; it takes up to twice as long.
NON_COORDINATOR_RETRY_PAUSE_S = 0.6


@dataclass(slots=True)
class PrefixWatch:
    """Watch of one key prefix of the store.

    Parameters
    ----------
    prefix
        Key prefix.
    apply_listing
        Applies a full listing of the prefix, read at a revision.
    apply_changes
        Applies changed items.
    wait_s
        Time a call waits for a change, in seconds.
    pause
        Returns the pause between calls, in seconds.
    """

    prefix: str
    apply_listing: Callable[[tuple[Item, ...], int], None]
    apply_changes: Callable[[tuple[Item, ...]], None]
    wait_s: Seconds
    pause: Callable[[], float]
    revision: int = 0
    is_loaded: bool = False


class StoreWatcher:
    """Keeps the cluster view current.

    Parameters
    ----------
    platform
        Metadata store and the format of its entries.
    view
        View to update.
    is_coordinator
        Whether this gateway coordinates a service now.

    Attributes
    ----------
    is_direct
        Whether this gateway reads the store itself; otherwise it applies what
        a peer has read.
    news
        Set when something was read from the store.
    is_reloading
        Whether the store has come back from an older copy and was not read
        completely since.
    """

    def __init__(
        self,
        platform: Platform,
        view: ClusterView,
        health: StoreHealth,
        is_coordinator: Callable[[], bool],
    ) -> None:
        """Create a watcher that has read nothing yet."""
        self.platform = platform
        self.view = view
        self.health = health
        self.is_coordinator = is_coordinator
        self.is_direct = False
        self.is_reloading = False
        self.mode_changed = anyio.Event()
        self.news = anyio.Event()
        self.cache = ItemCache()
        self.gateway_records = GatewayRecords(view, self.cache)
        self.evacuation_records = EvacuationRecords(
            platform.wire_format,
            view,
            self.cache,
            lambda: self.prefix_watches[0].is_loaded,
        )
        self.target_entries = TargetEntries(
            platform.wire_format, view, self.cache, health
        )
        self.active_polls: set[anyio.CancelScope] = set()
        self.prefix_watches = self.make_prefix_watches()
        health.on_lost.append(self.cancel_long_polls)
        health.on_lost.append(self.announce_news)
        health.on_restored.append(self.reload)

    def make_prefix_watches(self) -> tuple[PrefixWatch, ...]:
        """Return the watches of all prefixes; targets come last."""
        wire_format = self.platform.wire_format
        return (
            PrefixWatch(
                wire_format.operator_prefix,
                lambda items, revision: self.apply_config(
                    self.evacuation_records.with_ended(items, revision)
                ),
                self.apply_config,
                LONG_POLL_S,
                _no_pause,
            ),
            PrefixWatch(
                COORDINATOR_PREFIX,
                self.gateway_records.apply_listing,
                self.gateway_records.apply_changes,
                LONG_POLL_S,
                _coordinator_batch_pause,
            ),
            PrefixWatch(
                wire_format.target_prefix,
                self.target_entries.apply_listing,
                self.target_entries.apply_changes,
                SHORT_POLL_S,
                partial(_target_pause, self.is_coordinator),
            ),
        )

    @property
    def known(self) -> Progress:
        """Revisions up to which this gateway has applied all items."""
        config, coordinators, targets = (
            prefix_watch.revision if prefix_watch.is_loaded else 0
            for prefix_watch in self.prefix_watches
        )
        return Progress(config, coordinators, targets)

    @property
    def progress(self) -> Progress:
        """Revisions up to which this gateway has read the store itself."""
        if not (self.is_direct and self.health.is_reachable):
            return Progress()
        known = self.known
        targets = self.target_entries.final_to(known.targets)
        return Progress(known.config, known.coordinators, targets)

    def set_direct(self, *, is_direct: bool) -> None:
        """Start or stop reading the store."""
        if is_direct == self.is_direct:
            return
        self.is_direct = is_direct
        log_event(Event.STORE, state='read' if is_direct else 'followed')
        if not is_direct:
            self.cancel_long_polls()
            self.announce_news()
        self.mode_changed.set()
        self.mode_changed = anyio.Event()

    def start(self, tasks: SupervisedTasks) -> None:
        """Start watching all prefixes in the background."""
        for prefix_watch in self.prefix_watches:
            watch_prefix = partial(self.watch_prefix, prefix_watch)
            tasks.keep_running(prefix_watch.prefix, watch_prefix)
        tasks.keep_running('assignments', self.poll_assignments)

    async def watch_prefix(self, prefix_watch: PrefixWatch) -> None:
        """Watch one prefix until cancelled, while reading is on."""
        while True:
            if self.is_direct:
                await self.read(prefix_watch)
            else:
                await self.mode_changed.wait()

    async def read(self, prefix_watch: PrefixWatch) -> None:
        """Read a prefix or its changes once, and pause after a failure."""
        if prefix_watch.is_loaded:
            await anyio.sleep(prefix_watch.pause())
            await self.read_changes(prefix_watch)
        else:
            await self.read_all(prefix_watch)
        if self.health.is_reachable:
            return
        pause = RETRY_PAUSE_S
        if not self.is_coordinator():
            pause = NON_COORDINATOR_RETRY_PAUSE_S * (1 + random.random())
        await anyio.sleep(pause)

    async def read_all(self, prefix_watch: PrefixWatch) -> None:
        """Read a full listing of a prefix."""
        listing = await self.platform.store.scan(prefix_watch.prefix)
        self.health.record_call(listing.error if listing.is_error() else None)
        if listing.is_ok():
            prefix_watch.apply_listing(listing.ok.items, listing.ok.revision)
            self.mark_loaded(prefix_watch, listing.ok.revision)
            self.announce_news()

    def mark_loaded(self, prefix_watch: PrefixWatch, revision: int) -> None:
        """Record that all items of a prefix are known up to a revision."""
        prefix_watch.revision = revision
        prefix_watch.is_loaded = True
        self.is_reloading = self.is_reloading and not self.known.is_complete
        if prefix_watch.prefix == COORDINATOR_PREFIX:
            self.view.has_coordinators = True

    async def read_changes(self, prefix_watch: PrefixWatch) -> None:
        """Wait for changes of a prefix and apply them."""
        if not self.is_direct:
            return
        changes = None
        with anyio.CancelScope() as scope:
            self.active_polls.add(scope)
            wait_s = (
                prefix_watch.wait_s
                if self.health.is_reachable
                else SHORT_POLL_S
            )
            changes = await self.platform.store.watch(
                prefix_watch.prefix, prefix_watch.revision, Seconds(wait_s)
            )
        self.active_polls.discard(scope)
        if changes is None:
            return
        if changes.is_ok():
            self.health.record_call(None)
            prefix_watch.apply_changes(changes.ok.items)
            prefix_watch.revision = max(
                prefix_watch.revision, changes.ok.revision
            )
            self.announce_news()
            return
        self.health.record_call(changes.error)
        if changes.error.fault is StoreFault.HISTORY_GONE:
            log_event(
                Event.STORE, state='history-gone', prefix=prefix_watch.prefix
            )
            prefix_watch.is_loaded = False

    def reload(self) -> None:
        """Read everything again, since an older copy replaced it."""
        self.is_reloading = self.is_direct
        for prefix_watch in self.prefix_watches:
            prefix_watch.is_loaded = False
        self.cancel_long_polls()

    def announce_news(self) -> None:
        """Wake the peers that wait for news."""
        self.news.set()
        self.news = anyio.Event()

    def cancel_long_polls(self) -> None:
        """Cancel long polls, which a restarted store does not know."""
        for scope in tuple(self.active_polls):
            scope.cancel()

    async def poll_assignments(self) -> None:
        """Cache stored assignments periodically, for use in an outage."""
        while True:
            await anyio.sleep(ASSIGNMENT_INTERVAL_S)
            table = self.view.routes
            if table is None or self.health.is_lost:
                continue
            for service in table.keyed_services():
                await self.read_assignment(service, may_lag=True)

    async def read_assignment(
        self, service: ServiceName, *, may_lag: bool = False
    ) -> None:
        """Read the stored shard assignment of a service.

        Parameters
        ----------
        service
            Name of the service.
        may_lag
            Whether a result that is seconds old is acceptable.
        """
        key = assignment_key(service)
        read = await self.platform.store.read(key, may_lag=may_lag)
        self.health.record_call(read.error if read.is_error() else None)
        if read.is_ok() and read.ok.content is not None:
            self.apply_assignment(read.ok)

    def apply_assignment(self, item: Item) -> None:
        """Cache a stored assignment."""
        if self.cache.update(item):
            service = ServiceName(item.key.removeprefix(ASSIGNMENT_PREFIX))
            self.view.assignments[service] = item

    def apply_peer_items(
        self, items: Collection[Item], progress: Progress
    ) -> None:
        """Apply items that a peer has read from the store.

        Parameters
        ----------
        items
            Items that are new to this gateway, or outdated.
        progress
            Revisions up to which they are complete.
        """
        newer_items = [
            item
            for item in items
            if _is_newer(item, self.cache, self.prefix_watches)
        ]
        prefix = self.platform.wire_format.target_prefix
        operator_prefix = self.platform.wire_format.operator_prefix
        self.apply_config(
            (
                *_with_prefix(newer_items, operator_prefix),
                *self.evacuation_records.ended_by_peer(items),
            )
        )
        self.gateway_records.apply_changes(
            _with_prefix(newer_items, COORDINATOR_PREFIX)
        )
        self.target_entries.apply_changes(
            _with_prefix(newer_items, prefix), is_from_peer=True
        )
        for item in _with_prefix(newer_items, ASSIGNMENT_PREFIX):
            self.apply_assignment(item)
        revisions = (progress.config, progress.coordinators, progress.targets)
        for prefix_watch, revision in zip(
            self.prefix_watches, revisions, strict=True
        ):
            if revision:
                self.mark_loaded(
                    prefix_watch, max(prefix_watch.revision, revision)
                )
        if newer_items:
            log_event(Event.ADOPTED, document='items', count=len(newer_items))

    def apply_config(self, items: tuple[Item, ...]) -> None:
        """Apply changed items of operators: configurations and evacuations."""
        for item in items:
            if item.key == self.platform.wire_format.config_key:
                self.adopt_config(item)
        self.evacuation_records.apply_changes(items)

    def adopt_config(self, item: Item) -> None:
        """Adopt and cache a configuration, unless it is outdated.

        An older copy of the store may have an older one at a later revision.
        """
        if not item.content:
            return
        decoded = self.platform.wire_format.decode_routes(item.content)
        if decoded.is_error():
            self.cache.log_malformed(item.key, decoded.error)
            return
        if self.view.has_newer_routes(decoded.ok):
            return
        self.cache.update(item)
        if self.view.adopt_routes(decoded.ok):
            log_event(
                Event.ADOPTED,
                document='configuration',
                version=decoded.ok.version,
                revision=item.revision,
            )


def _is_newer(
    item: Item, cache: ItemCache, prefix_watches: Iterable[PrefixWatch]
) -> bool:
    """Whether an item of a peer is newer than what is known.

    An item that is no longer there may still be known to a peer that has
    lost the store; it is older than the last complete reading.
    """
    known = cache.items.get(item.key)
    if known is not None and known.revision >= item.revision:
        return False
    return not any(
        prefix_watch.is_loaded
        and item.key.startswith(prefix_watch.prefix)
        and item.revision <= prefix_watch.revision
        for prefix_watch in prefix_watches
    )


def _target_pause(is_coordinator: Callable[[], bool]) -> float:
    if is_coordinator():
        return COORDINATOR_PAUSE_S
    return NON_COORDINATOR_PAUSE_S


def _no_pause() -> float:
    return 0


def _coordinator_batch_pause() -> float:
    return COORDINATOR_BATCH_S


def _with_prefix(items: Iterable[Item], prefix: str) -> tuple[Item, ...]:
    return tuple(item for item in items if item.key.startswith(prefix))
