"""Evacuated data centres and cold targets, from the store to the last check."""

from dataclasses import replace

import anyio
import pytest
from expression import Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clocks import boot_time
from laburnumyard.core.admission import Grant
from laburnumyard.core.evacuation import WRITTEN_AFTER_S
from laburnumyard.core.ids import DataCentre, ServiceName
from laburnumyard.core.routes import RouteTable, ServiceSpec
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._item_cache import (
    Progress,
    decode_items,
    encode_items,
)
from laburnumyard.gateway._item_server import ItemServer
from laburnumyard.gateway._platform_interface import (
    Changes,
    Item,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._slot_acquisition import Slot
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_revision import revision_in
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.platform._wire_format import PlatformWireFormat
from laburnumyard.schema._generated import messages
from tests.gateway.conftest import (
    FakeSlots,
    FakeTarget,
    make_request,
    make_route,
    make_router,
    record_at,
)
from tests.platform.conftest import encode_entry

pytestmark = pytest.mark.anyio
HERE = DataCentre('lima-a')
KEY = 'op/evacuate/lima-a'
OTHER_KEY = 'op/evacuate/lima-b'
NEWS_LIMIT_S = 0.5
FETCH_WAIT_MS = 3000


class ScriptedStore:
    """Holds items; a watch returns what changed since, or blocks."""

    def __init__(self):
        self.items = {}
        self.revision = 0

    def put(self, key, content):
        self.revision += 1
        self.items[key] = Item(key, content, self.revision)

    async def scan(self, prefix):
        items = tuple(
            item
            for item in self.items.values()
            if item.key.startswith(prefix) and item.content is not None
        )
        return Ok(Changes(items, self.revision))

    async def watch(self, prefix, after, wait_s):
        items = tuple(
            item
            for item in self.items.values()
            if item.key.startswith(prefix) and item.revision > after
        )
        if not items:
            await anyio.sleep_forever()
        return Ok(Changes(items, self.revision))


def always():
    return True


def make_watcher(store=None):
    platform = Platform(store, None, PlatformWireFormat())
    watcher = StoreWatcher(platform, ClusterView(), StoreHealth(), always)
    watcher.set_direct(is_direct=True)
    return watcher


@pytest.fixture
def store():
    store = ScriptedStore()
    store.put('servers/a', encode_entry(warmupLeftMs=0))
    store.put('servers/b', encode_entry(zone='lima-b', warmupLeftMs=0))
    return store


@pytest.fixture
async def reader(store):
    """Return a gateway that reads the store and has read all of it."""
    watcher = make_watcher(store)
    for prefix_watch in watcher.prefix_watches:
        await watcher.read_all(prefix_watch)
    return watcher


async def read_operator_items(watcher):
    await watcher.read_changes(watcher.prefix_watches[0])


async def read_targets(watcher):
    await watcher.read_changes(watcher.prefix_watches[-1])


def states(watcher):
    directory = watcher.view.directory
    return [directory[name].state.value for name in 'ab']


def pass_on(reader, follower):
    """Pass a follower all that is news to it, as a message."""
    known = follower.known
    fetch = messages.FetchItems(
        1, known.targets, known.config, known.coordinators, 0, 0
    )
    progress = reader.progress
    items = ItemServer(reader).select_items(fetch, progress)
    message = encode_items(1, items, progress, 1000)
    follower.apply_peer_items(decode_items(message), progress)


@pytest.fixture
def follower(reader):
    watcher = make_watcher()
    watcher.set_direct(is_direct=False)
    pass_on(reader, watcher)
    return watcher


async def test_an_evacuation_and_its_end_are_read_by_watching(store, reader):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    assert_that(states(reader), Equals(['evacuated', 'ready']))
    store.put(KEY, None)
    await read_operator_items(reader)
    assert_that(states(reader), Equals(['ready', 'ready']))


async def test_two_data_centres_are_evacuated_and_return_alone(store, reader):
    store.put(KEY, b'{}')
    store.put(OTHER_KEY, b'{}')
    await read_operator_items(reader)
    assert_that(states(reader), Equals(['evacuated', 'evacuated']))
    store.put(KEY, None)
    await read_operator_items(reader)
    assert_that(states(reader), Equals(['ready', 'evacuated']))


async def test_an_evacuation_that_is_written_twice_ends_once(store, reader):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    store.put(KEY, None)
    await read_operator_items(reader)
    assert_that(states(reader), Equals(['ready', 'ready']))


# The key was removed before the gateway read it; the targets are cold.
async def test_an_evacuation_that_was_not_seen_leaves_cold_targets(
    store, reader, follower
):
    store.put(KEY, None)
    await read_operator_items(reader)
    pass_on(reader, follower)
    for watcher in (reader, follower):
        directory = watcher.view.directory
        now = boot_time()
        assert_that(directory['a'].is_cold(now), Is(True))
        assert_that(directory['b'].is_cold(now), Is(False))


# A peer passes on ends from long before this gateway started.
async def test_a_fresh_follower_takes_no_old_end_for_a_return(store, reader):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    store.put(KEY, None)
    await read_operator_items(reader)
    fresh = make_watcher()
    pass_on(reader, fresh)
    assert_that(fresh.view.directory['a'].is_cold(boot_time()), Is(False))


# A gateway that starts, or whose history of the store is gone, reads listings.
async def test_a_full_listing_ends_what_it_lacks(store, reader):
    store.put(KEY, b'{}')
    await reader.read_all(reader.prefix_watches[0])
    assert_that(states(reader), Equals(['evacuated', 'ready']))
    store.put(KEY, None)
    await reader.read_all(reader.prefix_watches[0])
    assert_that(states(reader), Equals(['ready', 'ready']))


# The store came back from a copy that was made before the evacuation.
async def test_followers_hear_what_an_older_copy_of_the_store_lacks(
    store, reader, follower
):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    pass_on(reader, follower)
    assert_that(states(follower), Equals(['evacuated', 'ready']))
    store.put(KEY, None)
    store.revision = revision_in(1, 2)
    reader.reload()
    for prefix_watch in reader.prefix_watches:
        await reader.read_all(prefix_watch)
    pass_on(reader, follower)
    assert_that(states(follower), Equals(['ready', 'ready']))


async def test_a_lost_store_leaves_the_last_known_state(store, reader):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    reader.health.record_call(StoreError(StoreFault.TIMEOUT))
    assert_that(states(reader), Equals(['evacuated', 'ready']))


async def test_a_new_target_of_an_evacuated_data_centre_is_out_of_use(
    store, reader
):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    store.put('servers/a', encode_entry(born=1785544779999))
    await read_targets(reader)
    assert_that(states(reader), Equals(['evacuated', 'ready']))


# A target may not name itself evacuated: only operators do.
def test_entries_do_not_state_evacuations():
    entry = encode_entry(state='evacuated')
    decoded = PlatformWireFormat().decode_target('servers/a', entry)
    assert_that(decoded.is_error(), Is(True))


async def test_followers_learn_of_the_begin_and_the_end(
    store, reader, follower
):
    assert_that(states(follower), Equals(['ready', 'ready']))
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    pass_on(reader, follower)
    assert_that(states(follower), Equals(['evacuated', 'ready']))
    store.put(KEY, None)
    await read_operator_items(reader)
    pass_on(reader, follower)
    assert_that(states(follower), Equals(['ready', 'ready']))
    assert_that(follower.view.directory['a'].is_cold(boot_time()), Is(True))


# The reader was started after the end, so it has no removal to pass on.
async def test_a_follower_learns_of_an_end_that_its_reader_did_not_see(
    store, reader, follower
):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    pass_on(reader, follower)
    store.put(KEY, None)
    restarted = make_watcher(store)
    for prefix_watch in restarted.prefix_watches:
        await restarted.read_all(prefix_watch)
    pass_on(restarted, follower)
    assert_that(states(follower), Equals(['ready', 'ready']))


async def test_an_answer_to_an_earlier_watch_begins_no_evacuation(
    store, reader
):
    store.put(KEY, b'{}')
    outdated = store.items[KEY]
    await read_operator_items(reader)
    store.put(KEY, None)
    await read_operator_items(reader)
    reader.apply_config((outdated,))
    assert_that(states(reader), Equals(['ready', 'ready']))


# A gateway that starts during an evacuation learns of it from a peer.
async def test_a_fresh_follower_learns_of_an_evacuation(store, reader):
    store.put(KEY, b'{}')
    await read_operator_items(reader)
    fresh = make_watcher()
    fresh.apply_peer_items(reader.cache.select(lambda item: True), Progress())
    assert_that(states(fresh), Equals(['evacuated', 'ready']))


class FetchLink:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


# A follower's fetch waits up to a second; evacuations must not.
async def test_followers_hear_of_an_evacuation_at_once(store, reader):
    link = FetchLink()
    fetch = messages.FetchItems(1, 9, 2, 9, FETCH_WAIT_MS, 0)
    store.put(KEY, b'{}')
    with anyio.move_on_after(NEWS_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ItemServer(reader).serve, link, fetch)
            await anyio.wait_all_tasks_blocked()
            await read_operator_items(reader)
    assert_that(bool(link.sent), Is(True))
    sent = [item.key for item in link.sent[0].items]
    assert_that(sent, Equals([KEY, 'op/evacuate/']))


# The entry of a target does not change when it returns warm; it is news all
# the same, or followers would count the target as cold for too long.
async def test_an_unchanged_entry_ends_the_return(
    store, reader, follower, monkeypatch
):
    for content in (b'{}', None):
        store.put(KEY, content)
        await read_operator_items(reader)
        pass_on(reader, follower)
    later = boot_time() + WRITTEN_AFTER_S
    name = 'laburnumyard.gateway._target_entries.boot_time'
    monkeypatch.setattr(name, lambda: later)
    store.put('servers/a', encode_entry(warmupLeftMs=0, sequence=9))
    await read_targets(reader)
    pass_on(reader, follower)
    for watcher in (reader, follower):
        record = watcher.view.directory['a']
        assert_that(record.is_cold(boot_time()), Is(False))


# An entry that is read again states the time left when it was written.
async def test_an_entry_that_is_read_again_does_not_prolong_the_warm_up(reader):
    item = Item('servers/a', encode_entry(warmupLeftMs=1500), 50)
    reader.target_entries.apply_changes((item,))
    cold_until = reader.view.directory['a'].cold_until
    await anyio.sleep(0.01)
    reader.target_entries.apply_changes((replace(item, revision=51),))
    assert_that(reader.view.directory['a'].cold_until, Equals(cold_until))


# A sender whose coordinator has not read of it yet refuses to send.
async def test_followers_hear_of_a_target_that_turns_cold_at_once(reader):
    entries = reader.target_entries
    cold = Item('servers/a', encode_entry(warmupLeftMs=900, sequence=8), 50)
    entries.apply_changes((cold,))
    assert_that(entries.departure_revision, Equals(50))


@pytest.fixture
def target():
    return FakeTarget()


@pytest.fixture
def other_target():
    return FakeTarget()


class GrantingSlots(FakeSlots):
    """Grants the first slot as a test says."""

    def __init__(self, grant, *addresses):
        super().__init__(*addresses)
        self.grants = [grant]

    async def acquire(self, slot_request):
        slot = await super().acquire(slot_request)
        if self.grants and isinstance(slot, Slot):
            return replace(slot, grant=self.grants.pop())
        return slot


def limit_cold_targets(router):
    """Have the configuration and the settings name the bounds."""
    spec = ServiceSpec(ServiceName('catalogue'), '/healthz', 9, False, 9, 7.1)
    routes = router.view.routes.routes
    table = RouteTable(2, routes, {spec.name: spec})
    router.view.adopt_routes(table)
    router.slot_check.grant_life_s = 2


async def serve_changed(change, grant, target, other_target):
    """Serve a request whose first target changes after the grant."""
    async with target.running(), other_target.running():
        slots = GrantingSlots(grant, target.address, other_target.address)
        router = make_router(slots, make_route(is_repeatable=False))
        limit_cold_targets(router)
        record = record_at(target.address)
        router.view.adopt_directory({record.target: record})
        change(router.view)
        response = await router.serve(make_request())
    return response, slots


def evacuate(view):
    view.begin_evacuation(HERE)


def turn_cold(view):
    view.adopt_directory(
        {
            target: replace(record, cold_until=boot_time() + 9)
            for target, record in view.entries.items()
        }
    )


def change_nothing(view):
    """Leave the target as it was when the slot was granted."""


# A permit of a coordinator that knows less, or from before a pause of this
# gateway, must not reach the target.
@pytest.mark.parametrize(
    ('change', 'age_s', 'is_for_cold', 'outcome'),
    [
        (evacuate, 0, False, 'leaving'),
        (turn_cold, 0, False, 'cold'),
        (turn_cold, 1, True, 'lapsed'),
        (change_nothing, 3, False, 'lapsed'),
    ],
)
async def test_an_outdated_slot_is_not_used(
    change, age_s, is_for_cold, outcome, target, other_target
):
    grant = Grant(boot_time() - age_s, is_for_cold)
    response, slots = await serve_changed(change, grant, target, other_target)
    assert_that(response.status, Equals(200))
    assert_that(target.received, Equals([]))
    assert_that(slots.outcomes, Equals([outcome, 'answered']))


# A gateway that was paused while its data centre was evacuated reads of it only
# after its first tasks have run.
async def test_a_paused_gateway_waits_until_it_has_caught_up(target):
    async with target.running():
        slots = GrantingSlots(Grant(boot_time(), False), target.address)
        router = make_router(slots, make_route(is_repeatable=False))
        limit_cold_targets(router)
        record = record_at(target.address)
        router.view.adopt_directory({record.target: record})
        router.slot_check.pauses.seen_at = boot_time() - 9
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(router.serve, make_request())
            await anyio.sleep(0.1)
            evacuate(router.view)
    assert_that(target.received, Equals([]))
    assert_that(slots.outcomes, Equals(['leaving']))


@pytest.mark.parametrize('change', [turn_cold, change_nothing])
async def test_a_slot_of_a_cold_target_is_used_in_time(
    change, target, other_target
):
    grant = Grant(boot_time(), is_for_cold=True)
    _, slots = await serve_changed(change, grant, target, other_target)
    assert_that(len(target.received), Equals(1))
    assert_that(slots.outcomes, Equals(['answered']))
