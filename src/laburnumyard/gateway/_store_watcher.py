"""Watches the store: configuration, targets, members and coordinators."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial

import anyio
from anyio.abc import TaskGroup

from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._gateway_records import GatewayRecords
from laburnumyard.gateway._item_cache import ItemCache
from laburnumyard.gateway._platform_interface import Item, Platform, StoreFault
from laburnumyard.gateway._record_encoding import (
    ASSIGNMENT_PREFIX,
    COORDINATOR_PREFIX,
    KEY_ROOT,
    MEMBER_PREFIX,
    assignment_key,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._target_entries import TargetEntries
from laburnumyard.gateway._task_supervision import keep_running
from laburnumyard.telemetry import Event, log_event

# Long polls keep the number of calls low. TCP keep-alive detects a silent
# connection well before they end.
LONG_POLL_S = 20.0
# Pause that batches coordinator changes of several services; requests wait
# 0.15 s for a coordinator.
COORDINATOR_BATCH_S = 0.1
# Pause that batches member changes, as each starting gateway would wake all
# others. Members are only asked during a store outage, and a few suffice.
MEMBER_BATCH_S = 3.0
# Targets write about once a second and each write would end a watch, so the
# pauses below batch their changes.
SHORT_POLL_S = 0.5
COORDINATOR_PAUSE_S = 0.4
NON_COORDINATOR_PAUSE_S = 1.5
# Interval between reads of stored assignments. They are only needed when
# coordinator and store are lost at once, and change little until then.
ASSIGNMENT_INTERVAL_S = 10.0
# Pause after a failed call: an outage costs few calls, and its end is noticed
# well within a second.
RETRY_PAUSE_S = 0.3


@dataclass(slots=True)
class PrefixWatch:
    """Watch of one key prefix of the store.

    Parameters
    ----------
    prefix
        Key prefix.
    apply_listing
        Applies a full listing of the prefix.
    apply_changes
        Applies changed items.
    wait_s
        Time a call waits for a change, in seconds.
    pause
        Returns the pause between calls, in seconds.
    """

    prefix: str
    apply_listing: Callable[[tuple[Item, ...]], None]
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
        # Returns the revision up to which a coordinator sent the targets.
        self.fetch_from_coordinator: Callable[[int], Awaitable[int]] = (
            _no_coordinator
        )
        self.cache = ItemCache()
        self.gateway_records = GatewayRecords(view, self.cache)
        self.target_entries = TargetEntries(
            platform.wire_format, view, self.cache, health
        )
        self.active_polls: set[anyio.CancelScope] = set()
        self.prefix_watches = self.make_prefix_watches()
        health.on_lost.append(self.cancel_long_polls)

    def make_prefix_watches(self) -> tuple[PrefixWatch, ...]:
        """Return the watches of all prefixes; targets come last."""
        wire_format = self.platform.wire_format
        return (
            PrefixWatch(
                wire_format.config_key,
                self.apply_config,
                self.apply_config,
                LONG_POLL_S,
                _no_pause,
            ),
            PrefixWatch(
                COORDINATOR_PREFIX,
                self.gateway_records.apply_coordinator_listing,
                self.gateway_records.apply_changes,
                LONG_POLL_S,
                _coordinator_batch_pause,
            ),
            PrefixWatch(
                MEMBER_PREFIX,
                self.gateway_records.apply_member_listing,
                self.gateway_records.apply_changes,
                LONG_POLL_S,
                _member_batch_pause,
            ),
            PrefixWatch(
                wire_format.target_prefix,
                self.target_entries.apply_listing,
                self.target_entries.apply_changes,
                SHORT_POLL_S,
                self.target_pause,
            ),
        )

    @property
    def complete_to(self) -> int:
        """Revision up to which all watched prefixes are known."""
        return min(
            prefix_watch.revision for prefix_watch in self.prefix_watches
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start watching all prefixes in a task group."""
        for prefix_watch in self.prefix_watches:
            watch_prefix = partial(self.watch_prefix, prefix_watch)
            tasks.start_soon(keep_running, prefix_watch.prefix, watch_prefix)
        tasks.start_soon(keep_running, 'assignments', self.poll_assignments)

    async def watch_prefix(self, prefix_watch: PrefixWatch) -> None:
        """Watch one prefix until cancelled."""
        while True:
            if prefix_watch.is_loaded:
                await anyio.sleep(prefix_watch.pause())
                if not await self.read_from_coordinator(prefix_watch):
                    await self.read_changes(prefix_watch)
            else:
                await self.read_all(prefix_watch)
            if not self.health.is_reachable:
                await anyio.sleep(RETRY_PAUSE_S)

    async def read_all(self, prefix_watch: PrefixWatch) -> None:
        """Read a full listing of a prefix."""
        listing = await self.platform.store.scan(prefix_watch.prefix)
        self.health.record_call(listing.error if listing.is_error() else None)
        if listing.is_ok():
            prefix_watch.apply_listing(listing.ok.items)
            prefix_watch.revision = listing.ok.revision
            prefix_watch.is_loaded = True

    async def read_changes(self, prefix_watch: PrefixWatch) -> None:
        """Wait for changes of a prefix and apply them."""
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
            return
        self.health.record_call(changes.error)
        if changes.error.fault is StoreFault.HISTORY_GONE:
            log_event(
                Event.STORE, state='history-gone', prefix=prefix_watch.prefix
            )
            prefix_watch.is_loaded = False

    async def read_from_coordinator(self, prefix_watch: PrefixWatch) -> bool:
        """Fetch target changes from a coordinator instead of the store.

        Targets write continuously, and a coordinator sends a small part of
        what the store would send.
        """
        is_targets = (
            prefix_watch.prefix == self.platform.wire_format.target_prefix
        )
        if not is_targets or self.is_coordinator():
            return False
        complete_to = await self.fetch_from_coordinator(prefix_watch.revision)
        prefix_watch.revision = max(prefix_watch.revision, complete_to)
        return complete_to > 0

    @property
    def targets_complete_to(self) -> int:
        """Revision up to which targets were read from the store; 0 if stale."""
        prefix_watch = self.prefix_watches[-1]
        is_fresh = self.health.is_reachable and self.is_coordinator()
        return (
            prefix_watch.revision if is_fresh and prefix_watch.is_loaded else 0
        )

    def cancel_long_polls(self) -> None:
        """Cancel long polls, which a restarted store does not know."""
        for scope in tuple(self.active_polls):
            scope.cancel()

    async def poll_assignments(self) -> None:
        """Cache stored assignments periodically, for use in an outage."""
        while True:
            await anyio.sleep(ASSIGNMENT_INTERVAL_S)
            table = self.view.routes
            if table is None or not self.health.is_reachable:
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

    def apply_peer_items(self, items: Iterable[Item]) -> None:
        """Apply items that a peer has read from the store."""
        newer_items = [
            item
            for item in items
            if item.key not in self.cache.items
            or item.revision > self.cache.items[item.key].revision
        ]
        prefix = self.platform.wire_format.target_prefix
        self.apply_config(
            _with_prefix(newer_items, self.platform.wire_format.config_key)
        )
        self.gateway_records.apply_changes(_with_prefix(newer_items, KEY_ROOT))
        self.target_entries.apply_changes(_with_prefix(newer_items, prefix))
        for item in _with_prefix(newer_items, ASSIGNMENT_PREFIX):
            self.apply_assignment(item)
        if newer_items:
            log_event(Event.ADOPTED, document='items', count=len(newer_items))

    def apply_config(self, items: tuple[Item, ...]) -> None:
        """Adopt a configuration if it is newer than the current one."""
        for item in items:
            if (
                item.key != self.platform.wire_format.config_key
                or not item.content
            ):
                continue
            self.cache.update(item)
            decoded = self.platform.wire_format.decode_routes(item.content)
            if decoded.is_error():
                self.cache.log_malformed(item.key, decoded.error)
            elif self.view.adopt_routes(decoded.ok):
                log_event(
                    Event.ADOPTED,
                    document='configuration',
                    version=decoded.ok.version,
                    revision=item.revision,
                )

    def target_pause(self) -> float:
        """Return the pause between reads of the targets, in seconds."""
        if self.is_coordinator():
            return COORDINATOR_PAUSE_S
        return NON_COORDINATOR_PAUSE_S


async def _no_coordinator(after: int) -> int:
    return 0


def _no_pause() -> float:
    return 0


def _coordinator_batch_pause() -> float:
    return COORDINATOR_BATCH_S


def _member_batch_pause() -> float:
    return MEMBER_BATCH_S


def _with_prefix(items: Iterable[Item], prefix: str) -> tuple[Item, ...]:
    return tuple(item for item in items if item.key.startswith(prefix))
