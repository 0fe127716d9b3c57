"""Many gateways that learn from the few that read the store."""

from collections import Counter
from functools import partial

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from laburnumyard.core.ids import ServiceName
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import (
    ClusterView,
    Coordinator,
    Member,
)
from laburnumyard.gateway._item_cache import Progress
from laburnumyard.gateway._item_server import ItemServer
from laburnumyard.gateway._peer_reader import PeerReader
from laburnumyard.gateway._platform_interface import (
    Changes,
    Item,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._record_encoding import (
    coordinator_key,
    encode_member,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.gateway._task_supervision import SupervisedTasks
from laburnumyard.platform._wire_format import PlatformWireFormat
from laburnumyard.schema._generated import messages
from laburnumyard.wire import LinkError, LinkErrorKind
from tests.platform.conftest import encode_entry

pytestmark = pytest.mark.anyio
TIMEOUT_S = 10
FLEET = 60
PEER_READER = 'laburnumyard.gateway._peer_reader.{0}'
SERVICE = ServiceName('catalogue')


class Store:
    """Holds items, counts calls, and may be unreachable for one gateway."""

    def __init__(self, items):
        self.items = {item.key: item for item in items}
        self.revision = max(item.revision for item in items)
        self.calls = Counter()
        self.changed = anyio.Event()

    def put(self, key, content):
        self.revision += 1
        self.items[key] = Item(key, content, self.revision)
        self.changed.set()
        self.changed = anyio.Event()

    def select(self, prefix, after=0):
        return tuple(
            item
            for item in self.items.values()
            if item.key.startswith(prefix) and item.revision > after
        )


class StoreOfOne:
    """The store as one gateway reaches it."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.is_lost = False

    async def scan(self, prefix):
        self.store.calls[self.name] += 1
        await anyio.lowlevel.checkpoint()
        if self.is_lost:
            return Error(StoreError(StoreFault.TIMEOUT))
        return Ok(Changes(self.store.select(prefix), self.store.revision))

    async def watch(self, prefix, after, wait_s):
        self.store.calls[self.name] += 1
        if self.is_lost:
            await anyio.sleep(0.01)
            return Error(StoreError(StoreFault.TIMEOUT))
        with anyio.move_on_after(wait_s):
            while not self.store.select(prefix, after):
                await self.store.changed.wait()
        items = self.store.select(prefix, after)
        return Ok(Changes(items, self.store.revision))


class Reply:
    def __init__(self):
        self.sent = None

    def send(self, message):
        self.sent = message


class Network:
    """Carries fetches between gateways that are up."""

    def __init__(self):
        self.gateways = {}

    async def request(self, peer, message, timeout_s):
        await anyio.lowlevel.checkpoint()
        server = self.gateways.get(peer.address)
        if server is None:
            return Error(LinkError(LinkErrorKind.BROKEN, 'down'))
        reply = Reply()
        await server.serve(reply, message)
        return Ok(reply.sent)


class GatewayParts:
    def __init__(self, network, store, number, seeds):
        self.member = Member(f'gateway-{number}', f'10.0.0.{number}:1', 1)
        self.view = ClusterView()
        self.health = StoreHealth()
        self.store = StoreOfOne(store, self.member.name)
        self.coordinates = False
        platform = Platform(self.store, None, PlatformWireFormat())
        self.watcher = StoreWatcher(
            platform, self.view, self.health, lambda: self.coordinates
        )
        self.server = ItemServer(self.watcher)
        self.reader = PeerReader(
            self.watcher, self.health, self.view, network, self.member, seeds
        )
        network.gateways[self.member.address] = self.server

    def start(self, tasks):
        self.watcher.start(SupervisedTasks(tasks))
        tasks.start_soon(self.reader.run)


@pytest.fixture
def store(config):
    return Store(
        (
            Item('op/config', config, 9),
            Item(
                coordinator_key(SERVICE),
                encode_member(Member('gateway-0', '10.0.0.0:1', 1)),
                11,
            ),
            Item('servers/a', encode_entry(), 12),
            Item('servers/b', encode_entry(), 13),
        )
    )


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def make_gateway(network, store):
    return partial(GatewayParts, network, store, seeds=('10.0.0.0:1',))


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(PEER_READER.format('WAIT_S'), 0.2)
    monkeypatch.setattr(PEER_READER.format('REJECTION_S'), 0.3)
    monkeypatch.setattr(PEER_READER.format('FETCH_INTERVAL_S'), 0.05)


def is_informed(gateway):
    return bool(gateway.view.routes and gateway.view.directory)


async def wait_until(condition):
    with anyio.fail_after(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


async def test_a_fleet_that_starts_together_reads_the_store_once(
    make_gateway, store
):
    """195 gateways made 6,475 calls on a calm day when each read by itself."""
    fleet = [make_gateway(number) for number in range(FLEET)]
    async with anyio.create_task_group() as tasks:
        for gateway in fleet:
            gateway.start(tasks)
        await wait_until(lambda: all(map(is_informed, fleet)))
        await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()
    assert_that(set(store.calls), Equals({'gateway-0'}))
    assert_that(store.calls['gateway-0'], LessThan(10))


async def test_a_configuration_reaches_all_at_once(
    make_gateway, store, config, monkeypatch
):
    monkeypatch.setattr(PEER_READER.format('WAIT_S'), 5)
    fleet = [make_gateway(number) for number in range(FLEET)]
    async with anyio.create_task_group() as tasks:
        for gateway in fleet:
            gateway.start(tasks)
        await wait_until(lambda: all(map(is_informed, fleet)))
        store.put('op/config', config.replace(b'r7', b'r8'))
        with anyio.fail_after(1):
            await wait_until(
                lambda: all(each.view.routes.version == 8 for each in fleet)
            )
        tasks.cancel_scope.cancel()


async def test_without_a_reader_a_gateway_reads_the_store(make_gateway):
    alone = make_gateway(1)
    async with anyio.create_task_group() as tasks:
        alone.start(tasks)
        await wait_until(lambda: alone.view.directory)
        tasks.cancel_scope.cancel()
    assert_that(alone.watcher.is_direct, Is(True))


async def test_a_reader_that_lost_the_store_is_not_followed(
    make_gateway, store
):
    """Machines may be turned away by the store while others are served."""
    reader, follower = make_gateway(0), make_gateway(1)
    async with anyio.create_task_group() as tasks:
        reader.start(tasks)
        follower.start(tasks)
        await wait_until(lambda: follower.view.directory)
        reader.store.is_lost = True
        reader.health.record_call(StoreError(StoreFault.TIMEOUT))
        await wait_until(lambda: 'gateway-1' in store.calls)
        tasks.cancel_scope.cancel()
    assert_that(follower.watcher.is_direct, Is(True))


async def test_a_new_coordinator_reads_the_store_at_once(make_gateway, store):
    reader, follower = make_gateway(0), make_gateway(1)
    async with anyio.create_task_group() as tasks:
        reader.start(tasks)
        follower.start(tasks)
        await wait_until(lambda: follower.view.directory)
        follower.coordinates = True
        own = Coordinator(follower.member, 20)
        follower.view.adopt_coordinator(SERVICE, own)
        assert_that(follower.watcher.is_direct, Is(True))
        tasks.cancel_scope.cancel()


async def test_a_fetch_waits_for_news_only_at_a_reader(make_gateway):
    gateway = make_gateway(1)
    reply = Reply()
    with anyio.fail_after(1):
        fetch = messages.FetchItems(3, 0, 0, 0, 5000, 400)
        await gateway.server.serve(reply, fetch)
    assert_that(reply.sent.complete_to, Equals(0))
    assert_that(gateway.view.max_milli_cores, Equals(400))


def test_a_target_that_had_left_is_not_adopted_from_an_outdated_peer(
    make_gateway,
):
    """A peer that lost the store long ago still lists the target."""
    gateway = make_gateway(1)
    watcher = gateway.watcher
    current = (Item('servers/b', encode_entry(), 13),)
    watcher.apply_peer_items(current, Progress(9, 11, 40))
    outdated = (Item('servers/a', encode_entry(), 12),)
    watcher.apply_peer_items(outdated, Progress())
    assert_that(list(gateway.view.directory), Equals(['b']))


def test_a_coordinator_that_has_ended_is_not_adopted_from_an_outdated_peer(
    make_gateway,
):
    gateway = make_gateway(1)
    gateway.watcher.apply_peer_items((), Progress(9, 30, 40))
    ended = Item(coordinator_key(SERVICE), encode_member(gateway.member), 11)
    gateway.watcher.apply_peer_items((ended,), Progress())
    assert_that(gateway.view.coordinators, Equals({}))


async def test_a_removal_found_in_a_listing_reaches_followers(
    make_gateway, store
):
    """The followers know a later revision than that of the last entry."""
    reader, follower = make_gateway(0), make_gateway(1)
    async with anyio.create_task_group() as tasks:
        reader.start(tasks)
        follower.start(tasks)
        await wait_until(lambda: follower.view.directory)
        store.items.pop('servers/a')
        store.put('servers/b', encode_entry(state='draining'))
        targets = reader.watcher.prefix_watches[-1]
        await reader.watcher.read_all(targets)
        await wait_until(lambda: list(follower.view.directory) == ['b'])
        tasks.cancel_scope.cancel()


async def test_a_removal_that_may_be_undone_is_not_passed_on(make_gateway):
    """Entries that lapsed in an outage come back within two seconds."""
    gateway = make_gateway(0)
    watcher = gateway.watcher
    watcher.set_direct(is_direct=True)
    watcher.health.record_call(StoreError(StoreFault.TIMEOUT))
    watcher.health.record_call(None)
    for prefix_watch in watcher.prefix_watches:
        watcher.mark_loaded(prefix_watch, 20)
    watcher.target_entries.apply_changes(
        (Item('servers/a', encode_entry(), 12),)
    )
    watcher.target_entries.apply_changes((Item('servers/a', None, 18),))
    reply = Reply()
    await gateway.server.serve(reply, messages.FetchItems(1, 13, 20, 20, 0, 0))
    assert_that(reply.sent.items, Equals(()))
    assert_that(reply.sent.complete_to, Equals(17))
