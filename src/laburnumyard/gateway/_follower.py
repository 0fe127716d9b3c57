"""Follows the store: configuration, targets, members and coordinators."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial

import anyio
from anyio.abc import TaskGroup

from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.gateway._gateway_records import GatewayRecords
from laburnumyard.gateway._items import ItemCache
from laburnumyard.gateway._ports import Item, Platform, StoreFault
from laburnumyard.gateway._records import (
    ASSIGNMENTS,
    COORDINATORS,
    MEMBERS,
    ROOT,
    assignment_key,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._supervision import keep_running
from laburnumyard.gateway._target_entries import TargetEntries
from laburnumyard.gateway._view import View
from laburnumyard.telemetry import Event, log_event

# A long wait makes few calls; a silent connection is found by keep-alive
# probes well before.
LONG_WAIT_S = 20.0
# Services whose coordinators change together are taken together, in seconds;
# requests wait 0.15 s for a coordinator.
GATHER_COORDINATORS_S = 0.1
# Each gateway that starts would wake all others, in seconds; members are asked
# only while the store is away, and a few are enough for that.
GATHER_MEMBERS_S = 3.0
# Targets write each second or so, and each write would end a watch; what has
# gathered is taken together.
SHORT_WAIT_S = 0.5
COORDINATOR_PAUSE_S = 0.4
BYSTANDER_PAUSE_S = 1.5
# How often stored assignments are read, in seconds: they are needed only when
# coordinator and store are lost at once, and change little by then.
ASSIGNMENT_INTERVAL_S = 10.0
# The pause after a failed call, in seconds; an outage costs few calls, and
# its end is noticed well within a second.
RETRY_PAUSE_S = 0.3


@dataclass(slots=True)
class Feed:
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
    reset: Callable[[tuple[Item, ...]], None]
    take: Callable[[tuple[Item, ...]], None]
    wait_s: Seconds
    pause: Callable[[], float]
    revision: int = 0
    is_read: bool = False


class Follower:
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
        view: View,
        health: StoreHealth,
        is_coordinator: Callable[[], bool],
    ) -> None:
        """Start without any knowledge."""
        self.platform = platform
        self.view = view
        self.health = health
        self.is_coordinator = is_coordinator
        # Returns up to which revision a coordinator told the targets.
        self.ask_coordinator: Callable[[int], Awaitable[int]] = _nobody
        self.cache = ItemCache()
        self.gateways = GatewayRecords(view, self.cache)
        self.entries = TargetEntries(platform.dialect, view, self.cache, health)
        self.watching: set[anyio.CancelScope] = set()
        self.feeds = self.make_feeds()
        health.on_lost.append(self.stop_watching)

    def make_feeds(self) -> tuple[Feed, ...]:
        """Return what is followed."""
        dialect = self.platform.dialect
        return (
            Feed(
                dialect.config_key,
                self.take_config,
                self.take_config,
                LONG_WAIT_S,
                _rest,
            ),
            Feed(
                COORDINATORS,
                self.gateways.reset_coordinators,
                self.gateways.take,
                LONG_WAIT_S,
                _gather_coordinators,
            ),
            Feed(
                MEMBERS,
                self.gateways.reset_members,
                self.gateways.take,
                LONG_WAIT_S,
                _gather_members,
            ),
            Feed(
                dialect.target_prefix,
                self.entries.reset,
                self.entries.take,
                SHORT_WAIT_S,
                self.pause_of_targets,
            ),
        )

    @property
    def complete_to(self) -> int:
        """The revision up to which everything followed is known."""
        return min(feed.revision for feed in self.feeds)

    def start(self, tasks: TaskGroup) -> None:
        """Follow everything beside the caller."""
        for feed in self.feeds:
            follow = partial(self.follow, feed)
            tasks.start_soon(keep_running, feed.prefix, follow)
        tasks.start_soon(keep_running, 'assignments', self.follow_assignments)

    async def follow(self, feed: Feed) -> None:
        """Follow one prefix for ever."""
        while True:
            if feed.is_read:
                await anyio.sleep(feed.pause())
                if not await self.is_told_by_peer(feed):
                    await self.read_changes(feed)
            else:
                await self.read_all(feed)
            if not self.health.is_reached:
                await anyio.sleep(RETRY_PAUSE_S)

    async def read_all(self, feed: Feed) -> None:
        """Read a prefix anew."""
        scanned = await self.platform.store.scan(feed.prefix)
        self.health.note(scanned.error if scanned.is_error() else None)
        if scanned.is_ok():
            feed.reset(scanned.ok.items)
            feed.revision = scanned.ok.revision
            feed.is_read = True

    async def read_changes(self, feed: Feed) -> None:
        """Take what changed."""
        watched = None
        with anyio.CancelScope() as scope:
            self.watching.add(scope)
            wait_s = feed.wait_s if self.health.is_reached else SHORT_WAIT_S
            watched = await self.platform.store.watch(
                feed.prefix, feed.revision, Seconds(wait_s)
            )
        self.watching.discard(scope)
        if watched is None:
            return
        if watched.is_ok():
            self.health.note(None)
            feed.take(watched.ok.items)
            feed.revision = max(feed.revision, watched.ok.revision)
            return
        self.health.note(watched.error)
        if watched.error.fault is StoreFault.HISTORY_GONE:
            log_event(Event.STORE, state='history-gone', prefix=feed.prefix)
            feed.is_read = False

    async def is_told_by_peer(self, feed: Feed) -> bool:
        """Take the changes of targets from a peer that reads them anyway.

        Targets write all the time; what a coordinator passes on is a small
        part of what the store would send.
        """
        is_targets = feed.prefix == self.platform.dialect.target_prefix
        if not is_targets or self.is_coordinator():
            return False
        complete_to = await self.ask_coordinator(feed.revision)
        feed.revision = max(feed.revision, complete_to)
        return complete_to > 0

    @property
    def targets_known_to(self) -> int:
        """Up to which revision the store itself told the targets; 0 if old."""
        feed = self.feeds[-1]
        is_fresh = self.health.is_reached and self.is_coordinator()
        return feed.revision if is_fresh and feed.is_read else 0

    def stop_watching(self) -> None:
        """End long waits: a store that is back would not know of them."""
        for scope in tuple(self.watching):
            scope.cancel()

    async def follow_assignments(self) -> None:
        """Read assignments now and then, for when they can't be read."""
        while True:
            await anyio.sleep(ASSIGNMENT_INTERVAL_S)
            table = self.view.routes
            if table is None or not self.health.is_reached:
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
        self.health.note(read.error if read.is_error() else None)
        if read.is_ok() and read.ok.content is not None:
            self.take_assignment(read.ok)

    def take_assignment(self, item: Item) -> None:
        """Keep a stored assignment."""
        if self.cache.keep(item):
            service = ServiceName(item.key.removeprefix(ASSIGNMENTS))
            self.view.assignments[service] = item

    def take_from_peer(self, items: Iterable[Item]) -> None:
        """Take what a peer has read from the store."""
        news = [
            item
            for item in items
            if item.key not in self.cache.items
            or item.revision > self.cache.items[item.key].revision
        ]
        prefix = self.platform.dialect.target_prefix
        self.take_config(_under(news, self.platform.dialect.config_key))
        self.gateways.take(_under(news, ROOT))
        self.entries.take(_under(news, prefix))
        for item in _under(news, ASSIGNMENTS):
            self.take_assignment(item)
        if news:
            log_event(Event.ADOPTED, document='items', count=len(news))

    def take_config(self, items: tuple[Item, ...]) -> None:
        """Adopt the newest configuration."""
        for item in items:
            if item.key != self.platform.dialect.config_key or not item.content:
                continue
            self.cache.keep(item)
            decoded = self.platform.dialect.decode_routes(item.content)
            if decoded.is_error():
                self.cache.skip(item.key, decoded.error)
            elif self.view.take_routes(decoded.ok):
                log_event(
                    Event.ADOPTED,
                    document='configuration',
                    version=decoded.ok.version,
                    revision=item.revision,
                )

    def pause_of_targets(self) -> float:
        """Return how long to rest before targets are read again."""
        if self.is_coordinator():
            return COORDINATOR_PAUSE_S
        return BYSTANDER_PAUSE_S


async def _nobody(after: int) -> int:
    return 0


def _rest() -> float:
    return 0


def _gather_coordinators() -> float:
    return GATHER_COORDINATORS_S


def _gather_members() -> float:
    return GATHER_MEMBERS_S


def _under(items: Iterable[Item], prefix: str) -> tuple[Item, ...]:
    return tuple(item for item in items if item.key.startswith(prefix))
