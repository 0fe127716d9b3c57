from functools import partial
from random import Random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    Is,
    MatchesStructure,
)

from laburnumyard.clients import StoredValue, StoreErrorKind

pytestmark = pytest.mark.anyio

KEY = 'assignment/catalogue/head'


def has_change_two(content):
    return b'change-2' in content


async def test_absent_key_reads_as_none(store):
    found = await store.read(KEY)
    assert_that(found.ok, Is(None))


async def test_write_read_delete(store):
    written = await store.write(KEY, b'first', None)
    found = await store.read(KEY)
    assert_that(found.ok, Equals(written.ok))
    assert_that(found.ok.content, Equals(b'first'))
    deleted = await store.delete(KEY, written.ok.revision)
    assert_that(deleted.is_ok(), Is(True))
    gone = await store.read(KEY)
    assert_that(gone.ok, Is(None))


async def test_stale_write_meets_the_current_value(store):
    first = await store.write(KEY, b'first', None)
    second = await store.write(KEY, b'second', first.ok.revision)
    stale = await store.write(KEY, b'stale', first.ok.revision)
    assert_that(
        stale.error,
        MatchesStructure.byEquality(
            kind=StoreErrorKind.CONFLICT,
            current=second.ok,
        ),
    )


async def test_creation_of_a_present_key_is_a_conflict(store):
    first = await store.write(KEY, b'first', None)
    second = await store.write(KEY, b'second', None)
    assert_that(second.error.current, Equals(first.ok))
    stale = await store.delete(KEY, first.ok.revision + 1)
    assert_that(stale.error.kind, Is(StoreErrorKind.CONFLICT))


async def test_one_of_racing_swaps_wins(store):
    start = await store.write(KEY, b'start', None)
    outcomes = {}

    async def race(name):
        outcomes[name] = await store.swap(
            KEY,
            name,
            start.ok.revision,
            lambda content: content == name,
        )

    async with anyio.create_task_group() as tasks:
        for number in range(8):
            tasks.start_soon(race, b'racer-%d' % number)
    found = await store.read(KEY)
    winners = [name for name, outcome in outcomes.items() if outcome.is_ok()]
    assert_that(winners, Equals([found.ok.content]))
    losers = [lost.error for lost in outcomes.values() if lost.is_error()]
    assert_that(
        {lost.kind for lost in losers}, Equals({StoreErrorKind.CONFLICT})
    )
    assert_that({lost.current for lost in losers}, Equals({found.ok}))


@pytest.mark.cell(step='publish', fault='write-answer-lost')
async def test_lost_write_answer_is_unknown_and_not_repeated(
    store,
    platform_app,
):
    platform_app.faults.lose_write_answers = 1
    written = await store.write(KEY, b'change-1', None)
    assert_that(written.error.kind, Is(StoreErrorKind.OUTCOME_UNKNOWN))
    assert_that(platform_app.calls['write'], Equals(1))
    assert_that(platform_app.api.store.revision, Equals(1))


@pytest.mark.cell(step='publish', fault='write-answer-lost')
async def test_swap_settles_a_lost_answer_by_reading(store, platform_app):
    first = await store.write(KEY, b'change-1', None)
    platform_app.faults.lose_write_answers = 1
    swapped = await store.swap(
        KEY,
        b'change-2',
        first.ok.revision,
        has_change_two,
    )
    assert_that(swapped.ok.content, Equals(b'change-2'))
    assert_that(platform_app.api.store.read(KEY).content, Equals(b'change-2'))
    assert_that(platform_app.calls['write'], Equals(2))
    assert_that(platform_app.calls['read'], Equals(1))


async def test_swap_writes_again_only_after_reading_back(
    scripted_server, make_store
):
    answer = (
        b'HTTP/1.1 200 OK\r\netag: "%d"\r\n'
        b'connection: close\r\ncontent-length: 0\r\n\r\n'
    )
    unchanged = answer % 7
    written = answer % 8
    async with scripted_server(b'', unchanged, written) as address:
        client = make_store(address)
        swapped = await client.swap(KEY, b'change-2', 7, has_change_two)
    assert_that(swapped.ok, Equals(StoredValue(KEY, b'change-2', 8)))


async def test_swap_stays_unknown_while_the_store_is_silent(
    scripted_server,
    make_store,
):
    async with scripted_server(b'') as address:
        client = make_store(address)
        swapped = await client.swap(KEY, b'change-2', 7, has_change_two)
    assert_that(swapped.error.kind, Is(StoreErrorKind.OUTCOME_UNKNOWN))


async def test_doubtful_creation_is_not_repeated(scripted_server, make_store):
    absent = b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n'
    async with scripted_server(b'', absent) as address:
        client = make_store(address)
        swapped = await client.swap(KEY, b'change-2', None, has_change_two)
    assert_that(swapped.error.kind, Is(StoreErrorKind.OUTCOME_UNKNOWN))


async def test_swap_finds_its_change_in_a_later_value(store, platform_app):
    first = await store.write(KEY, b'change-1', None)
    other = await store.write(KEY, b'change-2 change-3', first.ok.revision)
    swapped = await store.swap(
        KEY,
        b'change-2',
        first.ok.revision,
        has_change_two,
    )
    assert_that(swapped.ok, Equals(other.ok))


async def publish(store, change):
    """Append a change to the list in the key; True once acknowledged."""
    kind = StoreErrorKind.CONFLICT
    while kind is StoreErrorKind.CONFLICT:
        found = await store.read(KEY)
        swapped = await store.swap(
            KEY,
            b'%s,%s' % (found.ok.content, change),
            found.ok.revision,
            partial(lists, change),
        )
        kind = swapped.error.kind if swapped.is_error() else None
    return kind is None


def lists(change, content):
    return change in content.split(b',')


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.cell(step='publish', fault='racing-operators')
@pytest.mark.cell(step='publish', fault='write-answer-lost')
async def test_racing_changes_with_lost_answers_apply_once(
    store,
    platform_app,
    seed,
):
    random = Random(seed)
    acknowledged = []
    await store.write(KEY, b'start', None)

    async def operate(name):
        for number in range(5):
            change = b'%d-%d' % (name, number)
            platform_app.faults.lose_write_answers += random.randrange(2)
            if await publish(store, change):
                acknowledged.append(change)

    async with anyio.create_task_group() as tasks:
        for name in range(4):
            tasks.start_soon(operate, name)
    kept = platform_app.api.store.read(KEY).content.split(b',')
    assert_that(sorted(kept), Equals(sorted(set(kept))))
    assert_that(set(acknowledged) <= set(kept), Is(True))
    assert_that(acknowledged, HasLength(20))


async def test_largest_value_is_kept_whole(store):
    content = Random(1).randbytes(1024 * 1024)
    await store.write(KEY, content, None)
    found = await store.read(KEY)
    assert_that(found.ok.content, Equals(content))


async def test_oversized_value_is_refused_before_the_call(store, platform_app):
    written = await store.write(KEY, bytes(1024 * 1024 + 1), None)
    assert_that(written.error.kind, Is(StoreErrorKind.TOO_LARGE))
    assert_that(platform_app.calls['write'], Equals(0))


async def test_keys_lists_a_prefix(store):
    await store.write('config/head', b'', None)
    await store.write('config/chunk/a b%', b'', None)
    await store.write('assignment/orders/head', b'', None)
    listed = await store.keys('config/')
    names = [found.key for found in listed.ok]
    assert_that(names, Equals(['config/chunk/a b%', 'config/head']))


async def test_watch_has_no_gap_and_no_duplicate(store, platform_app):
    seen = []

    async def follow():
        revision = 0
        while revision < 10:
            newer = await store.wait_for_newer(KEY, revision, 20)
            revision = newer.ok.revision
            seen.append(newer.ok)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow)
        written = None
        for number in range(10):
            revision = written.ok.revision if written else None
            written = await store.write(KEY, b'%d' % number, revision)
    revisions = [stored.revision for stored in seen]
    assert_that(revisions, Equals(sorted(set(revisions))))
    assert_that(seen[-1], Equals(StoredValue(KEY, b'9', 10)))


async def test_watch_ends_empty_at_its_timeout(store):
    first = await store.write(KEY, b'first', None)
    newer = await store.wait_for_newer(KEY, first.ok.revision, 0.01)
    assert_that(newer.ok, Is(None))


async def test_watch_resumes_after_an_outage(
    store_address,
    make_store,
    platform_app,
    wait_until,
):
    client = make_store(store_address, attempts=1)
    first = await client.write(KEY, b'first', None)
    broken = []

    async def watch():
        broken.append(await client.wait_for_newer(KEY, first.ok.revision, 20))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        await wait_until(lambda: platform_app.calls['watch'])
        platform_app.faults.down = True
        platform_app.api.wake()
    assert_that(broken[0].error.kind, Is(StoreErrorKind.UNAVAILABLE))
    platform_app.faults.down = False
    second = await client.write(KEY, b'second', first.ok.revision)
    resumed = await client.wait_for_newer(KEY, first.ok.revision, 20)
    assert_that(resumed.ok, Equals(second.ok))


async def test_outage_is_seen_and_ends(store_address, make_store, platform_app):
    client = make_store(store_address, timeout_s=1, attempts=2)
    platform_app.faults.down = True
    failed = await client.read(KEY)
    assert_that(failed.error.kind, Is(StoreErrorKind.UNAVAILABLE))
    contact = client.last_contact
    assert_that(client.is_down(contact + 1), Is(False))
    assert_that(client.is_down(contact + 2), Is(True))
    platform_app.faults.down = False
    await client.read(KEY)
    assert_that(client.last_contact, GreaterThan(contact))
    assert_that(client.is_down(client.last_contact + 1000), Is(False))


async def test_refused_connection_leaves_a_write_undone(make_store):
    client = make_store('127.0.0.1:9', attempts=1)
    written = await client.write(KEY, b'first', None)
    assert_that(written.error.kind, Is(StoreErrorKind.UNAVAILABLE))


async def test_slow_store_meets_the_deadline(
    store_address,
    make_store,
    platform_app,
):
    client = make_store(store_address, timeout_s=0.05, attempts=2)
    platform_app.faults.delay_ms = 60_000
    read = await client.read(KEY)
    assert_that(read.error.kind, Is(StoreErrorKind.TIMEOUT))
    written = await client.write(KEY, b'first', None)
    assert_that(written.error.kind, Is(StoreErrorKind.OUTCOME_UNKNOWN))
    assert_that(client.calls.endpoint.idle, HasLength(0))


async def test_spent_budget_refuses_without_a_call(
    store_address,
    make_store,
    platform_app,
):
    client = make_store(store_address, call_burst=4, calls_per_s=0.001)
    for _ in range(4):
        await client.read(KEY)
    refused = await client.read(KEY)
    assert_that(refused.error.kind, Is(StoreErrorKind.OVER_BUDGET))
    assert_that(platform_app.calls['read'], Equals(4))


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx',
        b'HTTP/1.1 200 OK\r\netag: "0"\r\ncontent-length: 1\r\n\r\nx',
        b'HTTP/1.1 200 OK\r\netag: 1e3\r\ncontent-length: 1\r\n\r\nx',
        b'HTTP/1.1 200 OK\r\netag: "%s"\r\ncontent-length: 0\r\n\r\n'
        % (b'9' * 19),
        b'HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n',
    ],
)
async def test_malformed_answers_are_typed(scripted_server, make_store, answer):
    async with scripted_server(answer) as address:
        read = await make_store(address, attempts=1).read(KEY)
    async with scripted_server(answer) as address:
        listed = await make_store(address, attempts=1).keys('config/')
    assert_that(read.error.kind, Is(StoreErrorKind.MALFORMED))
    assert_that(listed.error.kind, Is(StoreErrorKind.MALFORMED))


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'HTTP/1.1 200 OK\r\netag: "5"\r\ncontent-length: 9\r\n\r\nhalf',
        b'no HTTP at all\r\n\r\n',
        b'HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n',
    ],
)
async def test_broken_answers_are_unavailable(
    scripted_server, make_store, answer
):
    async with scripted_server(answer) as address:
        client = make_store(address, attempts=2)
        read = await client.read(KEY)
        written = await client.write(KEY, b'', None)
    assert_that(read.error.kind, Is(StoreErrorKind.UNAVAILABLE))
    assert_that(written.error.kind, Is(StoreErrorKind.OUTCOME_UNKNOWN))


async def test_stale_watch_answer_is_refused(scripted_server, make_store):
    answer = b'HTTP/1.1 200 OK\r\netag: "5"\r\ncontent-length: 0\r\n\r\n'
    async with scripted_server(answer) as address:
        newer = await make_store(address, attempts=1).wait_for_newer(KEY, 5, 1)
    assert_that(newer.error.kind, Is(StoreErrorKind.MALFORMED))
