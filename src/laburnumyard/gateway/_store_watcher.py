"""Follows the store: configuration, targets, members and coordinators."""

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
from laburnumyard.gateway._supervision import keep_running
from laburnumyard.gateway._target_entries import TargetEntries
from laburnumyard.telemetry import Event, log_event

# A long wait makes few calls; a silent connection is found by keep-alive
# probes well before.
LONG_POLL_S = 20.0
# Services whose coordinators change together are taken together, in seconds;
# requests wait 0.15 s for a coordinator.
COORDINATOR_BATCH_S = 0.1
# Each gateway that starts would wake all others, in seconds; members are asked
# only while the store is away, and a few are enough for that.
MEMBER_BATCH_S = 3.0
# Targets write each second or so, and each write would end a watch; what has
# gathered is taken together.
SHORT_POLL_S = 0.5
COORDINATOR_PAUSE_S = 0.4
NON_COORDINATOR_PAUSE_S = 1.5
# How often stored assignments are read, in seconds: they are needed only when
# coordinator and store are lost at once, and change little by then.
ASSIGNMENT_INTERVAL_S = 10.0
# The pause after a failed call, in seconds; an outage costs few calls, and
# its end is noticed well within a second.
RETRY_PAUSE_S = 0.3


@dataclass(slots=True)
class PrefixWatch:
    """One prefix of the store.

    Parameters
    ----------
    prefix
        What is followed.
    reset
        Takes all items under the prefix.
    take
        Takes changed items.
    wait_s
        How long a call waits for a change, in seconds.
    pause
        Returns how long to rest between calls, in seconds.
    """

    prefix: str
    apply_listing: Callable[[tuple[Item, ...]], None]
    apply_changes: Callable[[tuple[Item, ...]], None]
    wait_s: Seconds
    pause: Callable[[], float]
    revision: int = 0
    is_loaded: bool = False


class StoreWatcher:
    """Keeps the view current.

    Parameters
    ----------
    platform
        The store and the formats of what lies in it.
    view
        What is kept current.
    is_coordinator
        Whether this gateway schedules a service now.
    """

    def __init__(
        self,
        platform: Platform,
        view: ClusterView,
        health: StoreHealth,
        is_coordinator: Callable[[], bool],
    ) -> None:
        """Start without any knowledge."""
        self.platform = platform
        self.view = view
        self.health = health
        self.is_coordinator = is_coordinator
        # Returns up to which revision a coordinator told the targets.
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
        """Return what is followed."""
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
        """The revision up to which everything followed is known."""
        return min(
            prefix_watch.revision for prefix_watch in self.prefix_watches
        )

    def start(self, tasks: TaskGroup) -> None:
        """Follow everything beside the caller."""
        for prefix_watch in self.prefix_watches:
            watch_prefix = partial(self.watch_prefix, prefix_watch)
            tasks.start_soon(keep_running, prefix_watch.prefix, watch_prefix)
        tasks.start_soon(keep_running, 'assignments', self.poll_assignments)

    async def watch_prefix(self, prefix_watch: PrefixWatch) -> None:
        """Follow one prefix for ever."""
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
        """Read a prefix anew."""
        scanned = await self.platform.store.scan(prefix_watch.prefix)
        self.health.record_call(scanned.error if scanned.is_error() else None)
        if scanned.is_ok():
            prefix_watch.apply_listing(scanned.ok.items)
            prefix_watch.revision = scanned.ok.revision
            prefix_watch.is_loaded = True

    async def read_changes(self, prefix_watch: PrefixWatch) -> None:
        """Take what changed."""
        watched = None
        with anyio.CancelScope() as scope:
            self.active_polls.add(scope)
            wait_s = (
                prefix_watch.wait_s
                if self.health.is_reachable
                else SHORT_POLL_S
            )
            watched = await self.platform.store.watch(
                prefix_watch.prefix, prefix_watch.revision, Seconds(wait_s)
            )
        self.active_polls.discard(scope)
        if watched is None:
            return
        if watched.is_ok():
            self.health.record_call(None)
            prefix_watch.apply_changes(watched.ok.items)
            prefix_watch.revision = max(
                prefix_watch.revision, watched.ok.revision
            )
            return
        self.health.record_call(watched.error)
        if watched.error.fault is StoreFault.HISTORY_GONE:
            log_event(
                Event.STORE, state='history-gone', prefix=prefix_watch.prefix
            )
            prefix_watch.is_loaded = False

    async def read_from_coordinator(self, prefix_watch: PrefixWatch) -> bool:
        """Take the changes of targets from a peer that reads them anyway.

        Targets write all the time; what a coordinator passes on is a small
        part of what the store would send.
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
        """Up to which revision the store itself told the targets; 0 if old."""
        prefix_watch = self.prefix_watches[-1]
        is_fresh = self.health.is_reachable and self.is_coordinator()
        return (
            prefix_watch.revision if is_fresh and prefix_watch.is_loaded else 0
        )

    def cancel_long_polls(self) -> None:
        """End long waits: a store that is back would not know of them."""
        for scope in tuple(self.active_polls):
            scope.cancel()

    async def poll_assignments(self) -> None:
        """Read assignments now and then, for when they can't be read."""
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
        """Read the assignment of a service's keys.

        Parameters
        ----------
        service
            The service.
        may_lag
            Whether one that is seconds old will do.
        """
        key = assignment_key(service)
        read = await self.platform.store.read(key, may_lag=may_lag)
        self.health.record_call(read.error if read.is_error() else None)
        if read.is_ok() and read.ok.content is not None:
            self.apply_assignment(read.ok)

    def apply_assignment(self, item: Item) -> None:
        """Keep a stored assignment."""
        if self.cache.update(item):
            service = ServiceName(item.key.removeprefix(ASSIGNMENT_PREFIX))
            self.view.assignments[service] = item

    def apply_peer_items(self, items: Iterable[Item]) -> None:
        """Take what a peer has read from the store."""
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
        """Adopt the newest configuration."""
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
        """Return how long to rest before targets are read again."""
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
