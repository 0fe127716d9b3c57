import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import TargetId
from laburnumyard.gateway import Platform
from laburnumyard.gateway._follower import LONG_WAIT_S, Follower
from laburnumyard.gateway._ports import (
    Changes,
    Item,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._records import (
    MEMBERS,
    coordinator_key,
    encode_member,
    member_key,
)
from laburnumyard.gateway._store_health import Reach, StoreHealth
from laburnumyard.gateway._view import Member, View
from laburnumyard.platform._dialect import PlatformDialect
from tests.platform.conftest import encode_entry

pytestmark = pytest.mark.anyio
LOST = StoreError(StoreFault.TIMEOUT)
MEMBER = Member('lima-a-1', '127.0.0.1:7001', 5)


class ScriptedStore:
    """Each call takes the next result; without one it waits for ever."""

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
def follower(store):
    platform = Platform(store, None, PlatformDialect())
    return Follower(platform, View(), StoreHealth(), never)


@pytest.fixture
def targets(follower):
    """The feed of the targets."""
    return follower.feeds[-1]


def entry(target, revision, **changes):
    content = None if changes.get('gone') else encode_entry(**changes)
    return Item(f'servers/{target}', content, revision)


async def test_lost_history_is_read_anew(store, follower, targets):
    store.scans = [
        Ok(Changes((entry('a', 1), entry('b', 2)), 2)),
        Ok(Changes((entry('b', 2),), 9)),
    ]
    store.changes = [Error(StoreError(StoreFault.HISTORY_GONE))]
    await follower.read_all(targets)
    assert_that(set(follower.view.directory), Equals({'a', 'b'}))
    await follower.read_changes(targets)
    assert_that(targets.is_read, Is(False))
    await follower.read_all(targets)
    assert_that(set(follower.view.directory), Equals({'b'}))


async def test_a_loss_of_the_store_ends_long_waits(store, follower):
    config = follower.feeds[0]
    follower.health.note(None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.read_changes, config)
        await anyio.wait_all_tasks_blocked()
        follower.health.note(LOST)
    assert_that(store.waits, Equals([(0, LONG_WAIT_S)]))


async def test_gateways_that_start_together_wake_others_once(store, follower):
    """On 59 VMs each start woke the watches of all others."""
    members = follower.feeds[2]
    assert_that(members.prefix, Equals(MEMBERS))
    assert_that(members.pause() > follower.feeds[1].pause(), Is(True))


async def test_members_read_anew_leave_the_coordinators(follower):
    coordinator = Item(coordinator_key('catalogue'), encode_member(MEMBER), 7)
    member = Item(member_key(MEMBER.name), encode_member(MEMBER), 3)
    follower.gateways.reset_coordinators((coordinator,))
    follower.gateways.reset_members((member,))
    follower.gateways.reset_members(())
    assert_that(list(follower.view.coordinators), Equals(['catalogue']))
    assert_that(follower.view.members, Equals({}))


async def test_targets_that_lapsed_in_an_outage_may_come_back(follower):
    follower.entries.take((entry('a', 1), entry('b', 1)))
    follower.health.note(LOST)
    follower.health.note(None)
    follower.entries.take((entry('a', 5, gone=True), entry('b', 5, gone=True)))
    assert_that(len(follower.view.directory), Equals(2))
    follower.entries.take((entry('a', 6),))
    follower.entries.absent = dict.fromkeys(follower.entries.absent, 0)
    follower.entries.take(())
    assert_that(list(follower.view.directory), Equals([TargetId('a')]))


async def test_without_an_outage_a_removed_target_is_gone(follower):
    follower.entries.take((entry('a', 1),))
    follower.entries.take((entry('a', 2, gone=True),))
    assert_that(follower.view.directory, Equals({}))


async def test_a_malformed_entry_leaves_the_others(follower):
    malformed = Item('servers/x', b'{"state": 7}', 3)
    follower.entries.take((malformed, entry('a', 4), malformed))
    assert_that(list(follower.view.directory), Equals(['a']))
    assert_that(follower.cache.malformed, Equals({'servers/x'}))


async def test_configurations_never_go_back(follower, config):
    older = config.replace(b'r7', b'r6')
    follower.take_config((Item('op/config', config, 9),))
    follower.take_config((Item('op/config', older, 10),))
    assert_that(follower.view.routes.version, Equals(7))


async def test_a_fresh_gateway_learns_from_a_peer(follower, config):
    key = coordinator_key('catalogue')
    follower.take_from_peer(
        (
            Item('op/config', config, 9),
            Item(key, encode_member(MEMBER), 11),
            Item(member_key('lima-a-1'), encode_member(MEMBER), 10),
            entry('a', 12),
        )
    )
    view = follower.view
    assert_that(view.routes.version, Equals(7))
    assert_that(view.coordinators['catalogue'].epoch, Equals(11))
    assert_that(list(view.members), Equals(['lima-a-1']))
    assert_that(list(view.directory), Equals(['a']))


async def test_a_peers_older_word_changes_nothing(follower):
    follower.entries.take((entry('a', 12, state='draining'),))
    follower.take_from_peer((entry('a', 11),))
    record = follower.view.directory['a']
    assert_that(record.state.value, Equals('draining'))


async def test_an_earlier_coordinators_end_does_not_end_the_next(follower):
    key = coordinator_key('catalogue')
    follower.gateways.take((Item(key, encode_member(MEMBER), 20),))
    follower.gateways.take((Item(key, None, 15),))
    assert_that(follower.view.coordinators['catalogue'].epoch, Equals(20))


def test_the_first_failure_counts_and_the_first_answer():
    health = StoreHealth()
    health.note(LOST)
    assert_that(health.reach, Is(Reach.LOST))
    health.note(StoreError(StoreFault.CONFLICT))
    assert_that(health.reach, Is(Reach.REACHED))
