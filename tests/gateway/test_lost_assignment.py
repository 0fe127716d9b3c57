"""Coordinators of keys after the store has lost their writes."""

import anyio
import pytest
from expression import Error
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.shards import Reply
from laburnumyard.core.target_directory import TargetState
from laburnumyard.gateway._cluster_view import (
    Coordinator,
    UnconfirmedCoordinator,
)
from laburnumyard.gateway._platform_interface import (
    Item,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._record_encoding import decode_assignment
from laburnumyard.gateway._store_revision import era_of, revision_in
from tests.gateway.test_shard_runner import (
    ANOTHER,
    FIRST,
    SERVICE,
    all_served,
    make_record,
    make_runner,
    orders,
    run_until,
    store,
    view,
)

__all__ = ('make_runner', 'orders', 'store', 'view')
pytestmark = pytest.mark.anyio
TIMEOUT_S = 15


@pytest.fixture
def restored(store):
    """Start the store in its first era; return what brings a copy back."""
    store.revision = revision_in(1, 100)

    def restore(item):
        store.revision = revision_in(2, 70)
        store.item = Item(item.key, item.content, revision_in(2, 60))

    return restore


async def test_a_coordinator_keeps_its_assignment(
    make_runner, store, orders, restored, wait_until
):
    runner, dispatcher = make_runner(epoch=revision_in(1, 5))
    first = None
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run, dispatcher)
            await wait_until(lambda: all_served(runner.manager))
            first = store.item
            holders = [piece.holder for piece in runner.manager.pieces]
            assert_that(await runner.save(()), Is(True))
            restored(first)
            orders.given.clear()
            runner.session.health.era = 2
            runner.epoch = revision_in(2, 71)
            runner.is_stale = True
            await wait_until(
                lambda: (
                    era_of(runner.manager.revision) == 2
                    and not runner.needs_save
                )
            )
            tasks.cancel_scope.cancel()
    kept = [piece.holder for piece in runner.manager.pieces]
    assert_that(kept, Equals(holders))
    stored = decode_assignment(store.item).ok
    assert_that(stored.is_restored, Is(False))
    assert_that('Release' in {given[0] for given in orders.given}, Is(False))
    runner.session.health.era = 0


@pytest.mark.parametrize('session', [FIRST, ANOTHER])
async def test_a_new_coordinator_frees_all_keys_first(
    make_runner, store, orders, restored, session
):
    runner, dispatcher = make_runner(epoch=revision_in(1, 5))
    await run_until(runner, dispatcher, all_served)
    restored(store.item)
    orders.given.clear()
    runner, dispatcher = make_runner(epoch=revision_in(2, 71), session=session)
    await run_until(runner, dispatcher, all_served)
    given = [(kind, target) for kind, target, _ in orders.given]
    released = [target for kind, target in given if kind == 'Release']
    assert_that(sorted(released), Equals(['1', '2']))
    first_grant = given.index(
        next(each for each in given if each[0] == 'Grant')
    )
    assert_that(first_grant, Equals(2))
    tokens = {era_of(piece.token) for piece in runner.manager.pieces}
    assert_that(tokens, Equals({2}))


# A write that fails has the assignment read again, which replaces the pieces;
# those are granted without a release.
@pytest.mark.parametrize('session', [FIRST, ANOTHER])
async def test_a_failed_claim_frees_all_keys_too(
    make_runner, store, orders, restored, session
):
    runner, dispatcher = make_runner(epoch=revision_in(1, 5))
    await run_until(runner, dispatcher, all_served)
    restored(store.item)
    orders.given.clear()
    swap = store.compare_and_swap

    async def conflict_once(write):
        store.compare_and_swap = swap
        item = store.item
        store.item = Item(item.key, item.content, item.revision + 1)
        return Error(StoreError(StoreFault.CONFLICT))

    store.compare_and_swap = conflict_once
    runner, dispatcher = make_runner(epoch=revision_in(2, 71), session=session)
    await run_until(runner, dispatcher, all_served)
    kinds = [given[0] for given in orders.given]
    assert_that(kinds[:2], Equals(['Release', 'Release']))


async def test_a_silent_target_keeps_its_keys_from_others(
    make_runner, store, orders, restored
):
    runner, dispatcher = make_runner(epoch=revision_in(1, 5))
    await run_until(runner, dispatcher, all_served)
    restored(store.item)
    orders.given.clear()
    orders.replies['2'] = Reply.UNKNOWN
    runner, dispatcher = make_runner(epoch=revision_in(2, 71), session=ANOTHER)
    with anyio.move_on_after(4):
        await runner.run(dispatcher)
    granted = {target for kind, target, _ in orders.given if kind == 'Grant'}
    assert_that(granted, Equals({'2'}))


# OWNER: the answer to the release of all keys freed keys that the target had
# been granted after the release was sent.
async def test_a_late_answer_to_the_release_of_all_keys_ends_no_later_grant(
    make_runner, store, orders, view, restored, wait_until
):
    runner, dispatcher = make_runner(epoch=revision_in(1, 5))
    await run_until(runner, dispatcher, all_served)
    restored(store.item)
    orders.given.clear()
    orders.busy['1'] = anyio.Event()
    runner, dispatcher = make_runner(epoch=revision_in(2, 71), session=ANOTHER)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run, dispatcher)
            await wait_until(lambda: is_granted(orders, '1'))
            leaving = make_record('1', state=TargetState.DRAINING)
            view.adopt_directory({**view.directory, leaving.target: leaving})
            await wait_until(lambda: moved_away(runner, '1'))
            orders.busy.pop('1').set()
            await wait_until(lambda: all_served(runner.manager))
            tasks.cancel_scope.cancel()
    assert_that(orders.shared, Equals([]))


# Keys stayed without an owner: a repeated release of all keys had the token of
# a later write, and stopped the grants that the target had by then.
async def test_a_repeated_release_of_all_keys_leaves_later_grants(
    make_runner, store, orders, restored, wait_until
):
    runner, dispatcher = make_runner(epoch=revision_in(1, 5))
    await run_until(runner, dispatcher, all_served)
    restored(store.item)
    orders.given.clear()
    orders.busy['1'] = anyio.Event()
    runner, dispatcher = make_runner(epoch=revision_in(2, 71), session=ANOTHER)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run, dispatcher)
            await wait_until(lambda: is_granted(orders, '1'))
            orders.lost.add('1')
            orders.busy.pop('1').set()
            await anyio.sleep(0.5)
            orders.lost.clear()
            await wait_until(lambda: all_served(runner.manager))
            tasks.cancel_scope.cancel()
    for piece in runner.manager.pieces:
        keys = set(range(piece.first, piece.last + 1))
        assert_that(orders.held[piece.holder.target] >= keys, Is(True))


def is_granted(orders, target):
    return any(
        kind == 'Grant' and name == target for kind, name, _ in orders.given
    )


def moved_away(runner, target):
    return all(piece.holder.target != target for piece in runner.manager.pieces)


async def test_an_assignment_that_the_store_lost_whole(
    make_runner, store, orders, view, restored
):
    store.revision = revision_in(2, 70)
    lost = Coordinator(FIRST.member, revision_in(1, 5))
    view.unconfirmed[SERVICE] = UnconfirmedCoordinator(lost, 0)
    runner, dispatcher = make_runner(epoch=revision_in(2, 71))
    await run_until(runner, dispatcher, all_served)
    kinds = [given[0] for given in orders.given]
    assert_that(kinds[:2], Equals(['Release', 'Release']))
