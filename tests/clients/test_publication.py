from itertools import repeat

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from laburnumyard.clients.publication import (
    PublishErrorKind,
    publish,
    read_current,
    read_history,
    read_version,
)
from laburnumyard.core.configuration import (
    HEAD_KEY,
    decode_published,
    encode_published,
)
from tests.clients.publishing import (
    accepted_changes,
    assert_versions_rise,
    make_proposal,
)
from tests.support.fake_store import FakeStore, KilledError, StoreFault

HISTORY = 'config/history/'


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def published(store):
    """Return a store whose current version is 1."""
    anyio.run(publish, store, make_proposal('first', 0))
    return store


def test_what_is_published_is_read_back(store):
    answer = anyio.run(publish, store, make_proposal('first', 0))
    assert_that(answer.ok.head.version, Equals(1))
    assert_that(answer.ok.is_in_history, Is(True))
    current = anyio.run(read_current, store).ok
    assert_that(current.head, Equals(answer.ok.head))
    assert_that(decode_published(encode_published(current)).is_ok(), Is(True))


def test_nothing_is_published_at_first(store):
    assert_that(anyio.run(read_current, store).ok, Is(None))
    assert_that(anyio.run(read_history, store, 9).ok, Equals(()))


def test_history_names_the_newest_first(published):
    anyio.run(publish, published, make_proposal('second', 1, slots=4))
    heads = anyio.run(read_history, published, 9).ok
    found = [(head.version, head.author) for head in heads]
    expected = [(2, 'author of second'), (1, 'author of first')]
    assert_that(found, Equals(expected))
    assert_that(anyio.run(read_history, published, 1).ok, HasLength(1))


def test_known_chunks_are_not_read_again(published):
    chunks = {
        key.rpartition('/')[2]: published.values.pop(key).content
        for key in list(published.values)
        if key.startswith('config/chunk/')
    }
    assert_that(anyio.run(read_current, published, chunks).is_ok(), Is(True))
    missing = anyio.run(read_current, published).error
    assert_that(missing.kind, Is(PublishErrorKind.MALFORMED))


@pytest.mark.cell(step='publish', fault='racing-operators')
def test_the_loser_of_a_race_sees_both_changes(published):
    async def race():
        rival = make_proposal('rival', 1, slots=9)

        async def overtake():
            assert_that((await publish(published, rival)).is_ok(), Is(True))

        published.before_swap[HEAD_KEY] = overtake
        return await publish(published, make_proposal('mine', 1, slots=5))

    error = anyio.run(race).error
    assert_that(error.kind, Is(PublishErrorKind.CONFLICT))
    assert_that(str(error.conflict.ours[0]), Contains('slots 3 -> 5'))
    assert_that(str(error.conflict.theirs[0]), Contains('slots 3 -> 9'))
    assert_that(error.conflict.current.change_id, Equals('rival'))
    assert_that(accepted_changes(published), Equals(['first', 'rival']))
    assert_versions_rise(published)


@pytest.mark.cell(step='publish', fault='racing-operators')
def test_many_operators_at_once_lose_nothing_silently(published):
    answers = {}

    async def operate(change):
        answers[change] = await publish(published, make_proposal(change, 1))

    async def race():
        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(operate, f'change-{number}')

    anyio.run(race)
    won = [change for change, answer in answers.items() if answer.is_ok()]
    lost = [answer.error for answer in answers.values() if answer.is_error()]
    assert_that(accepted_changes(published), Equals(['first', *won]))
    kinds = {error.kind for error in lost}
    assert_that(kinds, Equals({PublishErrorKind.CONFLICT}))


@pytest.mark.cell(step='publish', fault='write-answer-lost')
@pytest.mark.parametrize('prefix', ['config/chunk/', HISTORY, HEAD_KEY])
def test_a_lost_answer_is_settled_by_the_change_id(published, prefix):
    published.fail(prefix, StoreFault.ANSWER_LOST)
    answer = anyio.run(publish, published, make_proposal('second', 1, slots=5))
    is_success_or_unreachable = (
        answer.is_ok() or answer.error.kind is PublishErrorKind.UNREACHABLE
    )
    assert_that(is_success_or_unreachable, Is(True))
    is_accepted = 'second' in accepted_changes(published)
    assert_that(answer.is_ok(), Is(is_accepted))


@pytest.mark.cell(step='publish', fault='write-answer-lost')
def test_a_lost_answer_is_settled_though_another_followed(published):
    """The swap applies, its response is lost, a rival publishes on top."""
    published.fail(HEAD_KEY, StoreFault.ANSWER_LOST)
    plain_read = published.read

    async def read_after_rival(key):
        if key == HEAD_KEY and accepted_changes(published)[-1] == 'second':
            published.read = plain_read
            await publish(published, make_proposal('third', 2, slots=6))
        return await plain_read(key)

    published.read = read_after_rival
    answer = anyio.run(publish, published, make_proposal('second', 1, slots=5))
    assert_that(answer.is_ok(), Is(True))
    expected = ['first', 'second', 'third']
    assert_that(accepted_changes(published), Equals(expected))
    assert_versions_rise(published)


@pytest.mark.cell(step='publish', fault='store-slow')
def test_a_delayed_swap_never_undoes_a_later_one(published):
    """A delayed swap reaches the store after a rival's swap."""
    published.fail(HEAD_KEY, *repeat(StoreFault.DELAYED, 3))
    answer = anyio.run(publish, published, make_proposal('slow', 1, slots=5))
    assert_that(answer.error.kind, Is(PublishErrorKind.OUTCOME_UNKNOWN))
    assert_that(answer.error.detail, Contains('slow'))
    anyio.run(publish, published, make_proposal('rival', 1, slots=6))
    for swap in published.delayed:
        published.apply(*swap)
    assert_that(accepted_changes(published), Equals(['first', 'rival']))
    assert_versions_rise(published)


@pytest.mark.cell(step='publish', fault='store-slow')
def test_a_delayed_swap_is_sent_again(published):
    published.fail(HEAD_KEY, StoreFault.DELAYED)
    answer = anyio.run(publish, published, make_proposal('slow', 1, slots=5))
    for swap in published.delayed:
        published.apply(*swap)
    assert_that(answer.is_ok(), Is(True))
    assert_that(accepted_changes(published), Equals(['first', 'slow']))


@pytest.mark.cell(step='publish', fault='store-down')
@pytest.mark.parametrize('prefix', ['config/chunk/', HISTORY])
def test_without_the_store_nothing_changes(published, prefix):
    published.fail(prefix, StoreFault.DOWN)
    answer = anyio.run(publish, published, make_proposal('second', 1, slots=5))
    assert_that(answer.error.kind, Is(PublishErrorKind.UNREACHABLE))
    assert_that(accepted_changes(published), Equals(['first']))


@pytest.mark.cell(step='publish', fault='store-down')
def test_a_store_that_is_down_is_reported(published):
    published.is_down = True
    answer = anyio.run(publish, published, make_proposal('second', 1))
    assert_that(answer.error.kind, Is(PublishErrorKind.UNREACHABLE))
    read = anyio.run(read_current, published)
    assert_that(read.error.kind, Is(PublishErrorKind.UNREACHABLE))


@pytest.mark.cell(step='publish', fault='kill')
@pytest.mark.parametrize('is_applied', [False, True])
@pytest.mark.parametrize('calls', range(1, 7))
def test_a_publisher_may_be_killed_at_any_call(published, calls, is_applied):
    """The next operator reads a history without gaps in every outcome."""
    published.kill_after(calls, is_applied)
    with pytest.raises(KilledError):
        anyio.run(publish, published, make_proposal('killed', 1, slots=5))
    base = anyio.run(read_current, published).ok.head.version
    anyio.run(publish, published, make_proposal('next', base, slots=6))
    heads = anyio.run(read_history, published, 9).ok
    expected = list(range(base + 1, 0, -1))
    assert_that([head.version for head in heads], Equals(expected))
    accepted = [head.change_id for head in reversed(heads)]
    assert_that(accepted_changes(published), Equals(accepted))
    assert_versions_rise(published)


def test_an_entry_that_was_not_written_is_made_up_later(published):
    published.fail(f'{HISTORY}2', StoreFault.DOWN)
    second = anyio.run(publish, published, make_proposal('second', 1, slots=5))
    assert_that(second.ok.is_in_history, Is(False))
    assert_that(anyio.run(read_version, published, 2).ok, Is(None))
    anyio.run(publish, published, make_proposal('third', 2, slots=6))
    heads = anyio.run(read_history, published, 9).ok
    assert_that([head.version for head in heads], Equals([3, 2, 1]))


def test_a_base_that_never_was_is_refused(store, published):
    for base in (7, 2):
        error = anyio.run(publish, published, make_proposal('x', base)).error
        assert_that(error.kind, Is(PublishErrorKind.REFUSED))


def test_a_malformed_head_is_reported(published):
    revision = published.values[HEAD_KEY].revision
    published.apply(HEAD_KEY, b'{}', revision)
    error = anyio.run(publish, published, make_proposal('second', 1)).error
    assert_that(error.kind, Is(PublishErrorKind.MALFORMED))


@pytest.mark.anyio
async def test_the_real_client_publishes_to_the_platform(
    make_store,
    store_address,
):
    client = make_store(store_address)
    first = await publish(client, make_proposal('first', 0))
    assert_that(first.ok.is_in_history, Is(True))
    second = await publish(client, make_proposal('second', 1, slots=5))
    assert_that(second.is_ok(), Is(True))
    refused = await publish(client, make_proposal('late', 1, slots=6))
    assert_that(refused.error.kind, Is(PublishErrorKind.CONFLICT))
    current = (await read_current(client)).ok
    assert_that(current.head, Equals(second.ok.head))
    await client.close()
