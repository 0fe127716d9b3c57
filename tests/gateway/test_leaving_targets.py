"""No request is sent to a target that is known to leave."""

from dataclasses import replace

import anyio
import pytest
from expression import Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.target_directory import TargetState
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._item_server import ItemServer
from laburnumyard.gateway._platform_interface import Changes, Item
from laburnumyard.gateway._store_health import StoreHealth
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
ORDER = make_route(is_repeatable=False)
# What a peer waits for, and how soon it must hear of a leaving target: a reader
# may take most of the two seconds that are allowed.
FETCH_WAIT_MS = 3000
NEWS_LIMIT_S = 0.5


@pytest.fixture
def leaving_target():
    return FakeTarget()


@pytest.fixture
def other_target():
    return FakeTarget()


async def serve_after(change, leaving_target, other_target):
    """Serve a request whose first slot is of a target that has changed."""
    async with leaving_target.running(), other_target.running():
        slots = FakeSlots(leaving_target.address, other_target.address)
        router = make_router(slots, ORDER)
        record = record_at(leaving_target.address)
        router.view.adopt_directory({record.target: record})
        router.view.adopt_directory(change(record))
        response = await router.serve(make_request())
    return response, slots


def say_leaving(record):
    return {record.target: replace(record, state=TargetState.DRAINING)}


def remove(record):
    return {}


# DRAIN: a permit of a coordinator without the store named a leaving target.
@pytest.mark.parametrize('change', [say_leaving, remove])
async def test_no_request_is_sent_to_a_target_that_the_sender_knows_left(
    change, leaving_target, other_target
):
    response, slots = await serve_after(change, leaving_target, other_target)
    assert_that(response.status, Equals(200))
    assert_that(leaving_target.received, Equals([]))
    assert_that(slots.outcomes, Equals(['leaving', 'answered']))


class FetchLink:
    """Records the messages that are sent to a peer."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class ChangingStore:
    """Lists one target; the next watch says that it leaves."""

    def __init__(self):
        self.content = encode_entry()

    async def scan(self, prefix):
        items = (Item('servers/a', self.content, 3),)
        return Ok(Changes(items if prefix == 'servers/' else (), 3))

    async def watch(self, prefix, after, wait_s):
        content = encode_entry(state='draining', sequence=9)
        return Ok(Changes((Item('servers/a', content, 4),), 4))


@pytest.fixture
async def reader():
    """Return a gateway that reads the store and has read all of it."""
    platform = Platform(ChangingStore(), None, PlatformWireFormat())
    watcher = StoreWatcher(platform, ClusterView(), StoreHealth(), lambda: True)
    watcher.set_direct(is_direct=True)
    for prefix_watch in watcher.prefix_watches:
        await watcher.read_all(prefix_watch)
    return watcher


# DRAIN: a follower's fetch waited a second for news of anything but targets.
async def test_peers_hear_of_a_leaving_target_at_once(reader):
    link = FetchLink()
    fetch = messages.FetchItems(1, 3, 3, 3, FETCH_WAIT_MS, 0)
    server = ItemServer(reader)
    with anyio.move_on_after(NEWS_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, link, fetch)
            await anyio.wait_all_tasks_blocked()
            await reader.read_changes(reader.prefix_watches[-1])
    assert_that(bool(link.sent), Is(True))
    assert_that(
        [item.key for item in link.sent[0].items], Equals(['servers/a'])
    )
