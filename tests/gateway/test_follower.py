import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import TargetId
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._item_cache import Progress
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
from laburnumyard.gateway._store_health import StoreHealth, StoreReachability
from laburnumyard.gateway._store_watcher import LONG_POLL_S, StoreWatcher
from laburnumyard.platform._wire_format import PlatformWireFormat
from tests.platform.conftest import encode_entry

pytestmark = pytest.mark.anyio
LOST = StoreError(StoreFault.TIMEOUT)
MEMBER = Member('lima-a-1', '127.0.0.1:7001', 5)


class ScriptedStore:
    """Returns scripted results; a watch without one blocks for ever."""

    def __init__(self):
        self.scans = []
        self.changes = []
        self.waits = []

    async def scan(self, prefix):
        return self.scans.pop(0)

    async def watch(self, prefix, after, wait_s):
        self.waits.append((after, wait_s))
        if not self.changes:
            await anyio.sleep_forever()
        return self.changes.pop(0)


def never():
    return False


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def watcher(store):
    platform = Platform(store, None, PlatformWireFormat())
    watcher = StoreWatcher(platform, ClusterView(), StoreHealth(), never)
    watcher.set_direct(is_direct=True)
    return watcher


@pytest.fixture
def targets(watcher):
    """The prefix watch of the targets."""
    return watcher.prefix_watches[-1]


def entry(target, revision, **changes):
    content = None if changes.get('gone') else encode_entry(**changes)
    return Item(f'servers/{target}', content, revision)


async def test_lost_history_is_read_anew(store, watcher, targets):
    store.scans = [
        Ok(Changes((entry('a', 1), entry('b', 2)), 2)),
        Ok(Changes((entry('b', 2),), 9)),
    ]
    store.changes = [Error(StoreError(StoreFault.HISTORY_GONE))]
    await watcher.read_all(targets)
    assert_that(set(watcher.view.directory), Equals({'a', 'b'}))
    await watcher.read_changes(targets)
    assert_that(targets.is_loaded, Is(False))
    await watcher.read_all(targets)
    assert_that(set(watcher.view.directory), Equals({'b'}))


async def test_a_loss_of_the_store_ends_long_waits(store, watcher):
    config = watcher.prefix_watches[0]
    watcher.health.record_call(None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.read_changes, config)
        await anyio.wait_all_tasks_blocked()
        watcher.health.record_call(LOST)
    assert_that(store.waits, Equals([(0, LONG_POLL_S)]))


async def test_a_coordinator_missing_from_a_listing_leaves_the_others(watcher):
    records = watcher.gateway_records
    first = Item(coordinator_key('catalogue'), encode_member(MEMBER), 7)
    second = Item(coordinator_key('orders'), encode_member(MEMBER), 8)
    records.apply_listing((first, second), 8)
    records.apply_listing((first,), 9)
    assert_that(list(watcher.view.coordinators), Equals(['catalogue']))
    removed = watcher.cache.items[second.key]
    assert_that((removed.content, removed.revision), Equals((None, 9)))


async def test_targets_that_lapsed_in_an_outage_may_come_back(watcher):
    watcher.target_entries.apply_changes((entry('a', 1), entry('b', 1)))
    watcher.health.record_call(LOST)
    watcher.health.record_call(None)
    watcher.target_entries.apply_changes(
        (entry('a', 5, gone=True), entry('b', 5, gone=True))
    )
    assert_that(len(watcher.view.directory), Equals(2))
    watcher.target_entries.apply_changes((entry('a', 6),))
    watcher.target_entries.absent_until = dict.fromkeys(
        watcher.target_entries.absent_until, 0
    )
    watcher.target_entries.apply_changes(())
    assert_that(list(watcher.view.directory), Equals([TargetId('a')]))


async def test_followers_keep_a_target_that_came_back_unchanged(watcher):
    """Followers were told of the removal and never of the return.

    The reader kept the target for the return grace, so the entry that came back
    equalled the known one and did not replace the removal in its cache.
    """
    entries = watcher.target_entries
    entries.apply_changes((entry('a', 1),))
    watcher.health.record_call(LOST)
    watcher.health.record_call(None)
    entries.apply_changes((entry('a', 5, gone=True),))
    entries.apply_changes((entry('a', 6),))
    assert_that(entries.final_to(7), Equals(7))
    follower = StoreWatcher(
        watcher.platform, ClusterView(), StoreHealth(), never
    )
    follower.apply_peer_items((entry('a', 1),), Progress(0, 0, 1))
    follower.apply_peer_items(
        watcher.cache.select(lambda item: item.revision > 1),
        Progress(0, 0, 7),
    )
    assert_that(list(follower.view.directory), Equals([TargetId('a')]))


async def test_without_an_outage_a_removed_target_is_gone(watcher):
    watcher.target_entries.apply_changes((entry('a', 1),))
    watcher.target_entries.apply_changes((entry('a', 2, gone=True),))
    assert_that(watcher.view.directory, Equals({}))


async def test_a_malformed_entry_leaves_the_others(watcher):
    malformed = Item('servers/x', b'{"state": 7}', 3)
    watcher.target_entries.apply_changes((malformed, entry('a', 4), malformed))
    assert_that(list(watcher.view.directory), Equals(['a']))
    assert_that(watcher.cache.malformed, Equals({'servers/x'}))


async def test_configurations_never_go_back(watcher, config):
    older = config.replace(b'r7', b'r6')
    watcher.apply_config((Item('op/config', config, 9),))
    watcher.apply_config((Item('op/config', older, 10),))
    assert_that(watcher.view.routes.version, Equals(7))


async def test_a_fresh_gateway_learns_from_a_peer(watcher, config):
    key = coordinator_key('catalogue')
    watcher.apply_peer_items(
        (
            Item('op/config', config, 9),
            Item(key, encode_member(MEMBER), 11),
            entry('a', 12),
        ),
        Progress(),
    )
    view = watcher.view
    assert_that(view.routes.version, Equals(7))
    assert_that(view.coordinators['catalogue'].epoch, Equals(11))
    assert_that(list(view.directory), Equals(['a']))


async def test_a_peers_older_word_changes_nothing(watcher):
    watcher.target_entries.apply_changes((entry('a', 12, state='draining'),))
    watcher.apply_peer_items((entry('a', 11),), Progress())
    record = watcher.view.directory['a']
    assert_that(record.state.value, Equals('draining'))


async def test_an_earlier_coordinators_end_does_not_end_the_next(watcher):
    key = coordinator_key('catalogue')
    watcher.gateway_records.apply_changes(
        (Item(key, encode_member(MEMBER), 20),)
    )
    watcher.gateway_records.apply_changes((Item(key, None, 15),))
    assert_that(watcher.view.coordinators['catalogue'].epoch, Equals(20))


def test_the_first_failure_counts_and_the_first_answer():
    health = StoreHealth()
    health.record_call(LOST)
    assert_that(health.reachability, Is(StoreReachability.LOST))
    health.record_call(StoreError(StoreFault.CONFLICT))
    assert_that(health.reachability, Is(StoreReachability.REACHABLE))
