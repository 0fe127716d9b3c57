from collections import defaultdict
from dataclasses import replace

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import (
    DataCentre,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.scheduling import Scheduler, SchedulerSettings
from laburnumyard.core.shards import (
    Grant,
    Reply,
    ShardManager,
    ShardSettings,
)
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
from laburnumyard.core.target_lives import ended_lives, restarted_lives
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._platform_interface import (
    Item,
    OrderReply,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._record_encoding import decode_assignment
from laburnumyard.gateway._shard_runner import ShardRunner
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from laburnumyard.gateway._store_health import StoreHealth
from tests.support.sole import only

pytestmark = pytest.mark.anyio
SERVICE = ServiceName('catalogue')
ORDERS = ServiceName('orders')
TIMEOUT_S = 10
PREDECESSOR = Member('gone', '127.0.0.1:1', 1)


class FakeStore:
    """Stores one assignment; writes fail with the queued faults."""

    def __init__(self):
        self.item = Item('', None, 0)
        self.revision = 10
        self.faults = []

    async def read(self, key, *, may_lag=False):
        return Ok(self.item)

    async def compare_and_swap(self, write):
        fault = self.faults.pop(0) if self.faults else None
        if fault is StoreFault.CONFLICT:
            return Error(StoreError(fault))
        self.revision += 1
        content = only(write.puts.values())
        self.item = Item('', content, self.revision)
        if fault:
            return Error(StoreError(fault, may_apply=True))
        return Ok(self.revision)


class FakeOrders:
    """Targets that execute orders, or reply as a test sets."""

    def __init__(self):
        self.given = []
        self.replies = {}
        # Keys that each target holds, and grants of keys of another holder.
        self.held = defaultdict(set)
        self.shared = []
        # Targets whose work keeps them from answering releases, until set.
        self.busy = {}
        # Targets whose answers to releases are lost.
        self.lost = set()

    async def send(self, order, address, timeout_s, *, may_reconnect):
        await anyio.lowlevel.checkpoint()
        self.last = order
        self.may_reconnect = may_reconnect
        kind = 'Grant' if isinstance(order, Grant) else 'Release'
        self.given.append((kind, order.life.target, address))
        reply = self.replies.get(order.life.target, Reply.DONE)
        if reply is Reply.DONE:
            self.execute(order)
        if kind == 'Release' and order.life.target in self.busy:
            await self.busy[order.life.target].wait()
        if kind == 'Release' and order.life.target in self.lost:
            return OrderReply(Reply.UNKNOWN)
        return OrderReply(reply, 'handover')

    def execute(self, order):
        keys = set(range(order.first, order.last + 1))
        if not isinstance(order, Grant):
            self.held[order.life.target] -= keys
            return
        for target, held in self.held.items():
            if target != order.life.target and held & keys:
                self.shared.append((target, order))
        self.held[order.life.target] |= keys


class FakeSession:
    def __init__(self, member):
        self.member = member
        self.is_fresh = True
        self.store_age_s = 0
        self.health = StoreHealth()

    @property
    def confirmed_at(self):
        return boot_time() - self.store_age_s


FIRST = FakeSession(Member('lima-a-1', '127.0.0.1:7001', 5))
ANOTHER = FakeSession(Member('lima-b-2', '127.0.0.1:2', 7))


def make_record(
    name, started=1, state=TargetState.READY, service=SERVICE, address=''
):
    return TargetRecord(
        TargetLife(TargetId(name), started),
        service,
        address or f'10.0.0.{name}:80',
        DataCentre('lima-a'),
        3,
        state,
        Seconds(0),
    )


@pytest.fixture
def view():
    known = ClusterView()
    known.adopt_directory({TargetId(name): make_record(name) for name in '12'})
    return known


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def orders():
    return FakeOrders()


@pytest.fixture
def make_runner(view, store, orders):
    def build(epoch=5, session=FIRST):
        manager = ShardManager(ShardSettings())
        platform = Platform(store, orders, None)
        runner = ShardRunner(SERVICE, epoch, platform, view, session, manager)
        scheduler = Scheduler(SchedulerSettings(), manager)
        return runner, SlotDispatcher(SERVICE, scheduler)

    return build


async def run_until(runner, dispatcher, condition):
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run, dispatcher)
            while True:
                if condition(runner.manager):
                    break
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()


def all_served(manager):
    """Whether this manager has granted or renewed all keys."""
    now = boot_time()
    return manager.pieces and all(
        piece.is_in_force(now) and piece.renew_at > now
        for piece in manager.pieces
    )


async def test_keys_are_dealt_stored_and_granted(make_runner, store, orders):
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    stored = decode_assignment(store.item).ok
    assert_that(stored.writer, Equals(FIRST.member))
    assert_that(
        set(stored.addresses.values()),
        Equals({'10.0.0.1:80', '10.0.0.2:80'}),
    )
    assert_that({given[0] for given in orders.given}, Equals({'Grant'}))


@pytest.mark.parametrize(
    'fault', [StoreFault.CONFLICT, StoreFault.TIMEOUT, StoreFault.REFUSED]
)
async def test_a_write_that_failed_or_lost_its_answer_is_settled(
    make_runner, store, fault
):
    store.faults = [fault]
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    assert_that(runner.manager.revision, Equals(store.item.revision))


async def test_a_former_holder_without_an_entry_is_still_released(
    make_runner, view, orders
):
    """A target that lost the store serves its keys until released."""
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    view.adopt_directory({TargetId('2'): make_record('2')})
    orders.given.clear()
    runner, dispatcher = make_runner(epoch=6)
    await run_until(
        runner,
        dispatcher,
        lambda manager: (
            all_served(manager) and manager.destination(ShardKey(0)) == '2'
        ),
    )
    assert_that(orders.given, Contains(('Release', '1', '10.0.0.1:80')))


async def test_a_former_holder_whose_address_is_reused_is_not_waited_for(
    make_runner, view, orders
):
    """Seen on inkingi trouble-1: keys had no owner for 38 s."""
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    other = make_record('9', service=ORDERS, address='10.0.0.1:80')
    view.adopt_directory(
        {TargetId('2'): make_record('2'), TargetId('9'): other}
    )
    orders.replies['1'] = Reply.GONE
    runner, dispatcher = make_runner(epoch=6)
    started_at = boot_time()
    await run_until(runner, dispatcher, all_served)
    assert_that(runner.manager.destination(ShardKey(0)), Equals('2'))
    # Shorter than a hold: the reply ends the wait.
    assert_that(boot_time() - started_at < 4, Is(True))


FOREIGN = {
    'service-without-route': (ORDERS, 2),
    'same-service-later': (SERVICE, 2),
    'same-service-same-start': (SERVICE, 1),
}


# OWNER: an entry with the address of a live target gave its keys away while
# the target held them.
@pytest.mark.parametrize(('service', 'started'), FOREIGN.values(), ids=FOREIGN)
async def test_an_entry_with_the_address_of_a_live_target_frees_no_key(
    make_runner, view, orders, wait_until, service, started
):
    foreign = make_record(
        'b-77', started=started, service=service, address='10.0.0.1:80'
    )
    # The process at the address is target 1.
    orders.replies['b-77'] = Reply.GONE
    runner, dispatcher = make_runner()
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run, dispatcher)
            await wait_until(lambda: all_served(runner.manager))
            view.adopt_directory({**view.directory, foreign.target: foreign})
            await anyio.sleep(1)
            tasks.cancel_scope.cancel()
    assert_that(orders.shared, Equals([]))
    assert_that(make_record('1').life in runner.manager.dead, Is(False))


async def test_a_predecessor_that_stands_down_shortens_the_wait(
    make_runner, orders
):
    told = []

    async def stand_down(member, service, epoch):
        told.append((member.name, epoch))
        return True

    runner, _ = make_runner()
    runner.stand_down = stand_down
    # The address accepts connections, like that of a live replaced gateway.
    server = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = server.extra(anyio.abc.SocketAttribute.local_port)
    member = Member('lima-b-1', f'127.0.0.1:{port}', 1)
    async with server:
        await runner.await_predecessors([member])
    assert_that(told, Equals([('lima-b-1', 5)]))


async def test_a_refused_connection_does_not_prove_a_predecessor_gone(
    make_runner,
):
    """A faulty network may refuse connections to a live process."""
    runner, _ = make_runner()
    assert_that(
        await runner.has_predecessor_stopped(PREDECESSOR), Equals(False)
    )


async def test_a_predecessor_that_has_started_anew_is_not_asked(
    make_runner, view
):
    view.members[PREDECESSOR.name] = Member(
        PREDECESSOR.name, PREDECESSOR.address, 2
    )
    runner, _ = make_runner()
    with anyio.fail_after(TIMEOUT_S):
        await runner.await_predecessors([PREDECESSOR])


async def test_no_order_is_given_before_the_store_names_the_coordinator(
    make_runner, store, orders
):
    """Seen on apme hunt-bc8c-11: an unstored coordinator renewed grants.

    Its successor waits only for the coordinator named in the store, so the
    second of three coordinators must not send orders before it is stored.
    """
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    orders.given.clear()
    store.faults = [StoreFault.CONFLICT] * 100
    runner, dispatcher = make_runner(epoch=6, session=ANOTHER)
    with anyio.move_on_after(0.5):
        await runner.run(dispatcher)
    assert_that(orders.given, Equals([]))


async def test_a_claim_whose_answer_was_lost_is_not_repeated(
    make_runner, store
):
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    before = store.revision
    store.faults = [StoreFault.TIMEOUT]
    runner, dispatcher = make_runner(epoch=6, session=ANOTHER)
    await run_until(runner, dispatcher, all_served)
    assert_that(store.revision, Equals(before + 1))


async def test_a_coordinator_that_gives_orders_is_named_in_the_store(
    make_runner, store
):
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    runner, dispatcher = make_runner(epoch=6, session=ANOTHER)
    await run_until(runner, dispatcher, all_served)
    stored = decode_assignment(store.item).ok
    assert_that(stored.writer, Equals(ANOTHER.member))


async def test_a_lost_answer_of_the_store_does_not_settle_a_predecessor(
    make_runner, store, orders
):
    """The reloaded record names this writer, but its predecessor may live."""
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    store.faults = [StoreFault.TIMEOUT]
    runner, dispatcher = make_runner(epoch=6, session=ANOTHER)
    await run_until(runner, dispatcher, all_served)
    bounds = runner.manager.settings
    soonest = min(piece.may_hold_until for piece in runner.manager.pieces)
    # Without the store, the predecessor may renew grants for this long.
    least = boot_time() + bounds.outage_hold_s
    assert_that(soonest > least, Equals(True))


async def test_a_target_that_started_anew_releases_before_others_get_its_keys(
    make_runner, view, orders
):
    """A renewal in flight may have reached the later start."""
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    again = make_record('1', started=2, state=TargetState.DRAINING)
    orders.given.clear()
    view.adopt_directory(
        {TargetId('1'): again, TargetId('2'): make_record('2')}
    )
    await run_until(
        runner,
        dispatcher,
        lambda manager: (
            all_served(manager) and manager.destination(ShardKey(0)) == '2'
        ),
    )
    assert_that(orders.given, Contains(('Release', '1', '10.0.0.1:80')))


def held_only_by(target):
    """Return whether a target holds all keys."""

    def is_true_of(manager):
        holders = {piece.holder.target for piece in manager.pieces}
        return all_served(manager) and holders == {target}

    return is_true_of


def put_targets_apart(view):
    """Put the second target into a data centre of its own."""
    apart = replace(make_record('2'), data_centre=DataCentre('lima-b'))
    view.adopt_directory({TargetId('1'): make_record('1'), '2': apart})


# An evacuated target holds its keys until others get them, and releases them.
async def test_keys_leave_an_evacuated_data_centre_and_come_back(
    make_runner, view, orders
):
    put_targets_apart(view)
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    view.begin_evacuation(DataCentre('lima-a'))
    await run_until(runner, dispatcher, held_only_by('2'))
    assert_that(orders.given, Contains(('Release', '1', '10.0.0.1:80')))
    view.end_evacuation(DataCentre('lima-a'), 99, boot_time())
    await run_until(
        runner,
        dispatcher,
        lambda manager: (
            all_served(manager)
            and '1' in {piece.holder.target for piece in manager.pieces}
        ),
    )
    assert_that(orders.shared, Equals([]))


async def confirm(member, service, epoch):
    """Confirm that the earlier coordinator has stopped."""
    return True


# The coordinator is replaced while the keys are on their way.
async def test_a_takeover_during_an_evacuation_moves_the_rest(
    make_runner, view, orders
):
    put_targets_apart(view)
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    view.begin_evacuation(DataCentre('lima-a'))
    await run_until(
        runner,
        dispatcher,
        lambda manager: ('Release', '1', '10.0.0.1:80') in orders.given,
    )
    later, its_dispatcher = make_runner(epoch=9, session=ANOTHER)
    later.stand_down = confirm
    await run_until(later, its_dispatcher, held_only_by('2'))
    assert_that(orders.shared, Equals([]))


# With both data centres evacuated there is no better place for the keys.
async def test_keys_stay_where_they_are_if_all_targets_are_evacuated(
    make_runner, view, orders
):
    put_targets_apart(view)
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    for name in ('lima-a', 'lima-b'):
        view.begin_evacuation(DataCentre(name))
    assert_that(runner.refresh_targets(), Equals([]))
    assert_that(runner.manager.plan({}, {}, boot_time()), Equals([]))


# Keys of a cold target are planned for half of the rate that it tolerates.
def test_a_cold_target_gets_keys_for_half_of_its_rate(make_runner, view):
    runner, dispatcher = make_runner()
    runner.dispatcher = dispatcher
    record = replace(make_record('1'), cold_until=boot_time() + 60)
    scheduler = dispatcher.scheduler
    scheduler.limiter.warm_up_per_s = 4
    scheduler.update_targets([record])
    expected = 4 * scheduler.times.mean() / 2
    assert_that(runner.capacity(record), Equals(expected))
    assert_that(runner.capacity(make_record('1')), Equals(expected))
    scheduler.update_targets([make_record('1')])
    assert_that(runner.capacity(make_record('1')), Equals(3))


def test_a_start_that_a_later_one_replaced_has_not_ended_for_certain():
    lives = {TargetLife(TargetId('1'), 1): '10.0.0.1:80'}
    directory = {TargetId('1'): make_record('1', started=2)}
    replaced = [life.target for life in restarted_lives(lives, directory)]
    assert_that(replaced, Equals(['1']))
    assert_that(list(ended_lives(lives, directory)), Equals([]))


# OWNER: an entry of another target at the address was taken for its end.
@pytest.mark.parametrize('started', [0, 1, 5])
def test_entries_of_other_targets_at_its_address_do_not_end_a_target(started):
    old = make_record('1')
    other = make_record('8', started=started, address=old.address)
    lives = {old.life: old.address, other.life: old.address}
    for directory in (
        {other.target: other, old.target: old},
        {old.target: old, other.target: other},
        {other.target: other},
    ):
        assert_that(list(ended_lives(lives, directory)), Equals([]))


def test_a_target_ends_with_its_own_later_start_at_another_address():
    lives = {
        TargetLife(TargetId('1'), 1): '10.0.0.7:80',
        TargetLife(TargetId('2'), 1): '10.0.0.2:80',
        TargetLife(TargetId('3'), 1): '10.0.0.9:80',
        TargetLife(TargetId('4'), 2): '10.0.0.8:80',
    }
    directory = {
        TargetId('1'): make_record('1', started=2),
        TargetId('4'): make_record('4', started=1),
        TargetId('8'): make_record('8', address='10.0.0.2:80'),
    }
    ended = [life.target for life in ended_lives(lives, directory)]
    assert_that(ended, Equals(['1']))


async def test_a_grant_that_waited_behind_a_silent_target_is_made_anew(
    make_runner, orders
):
    """Otherwise the target would hold the key longer than was counted."""
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    piece = runner.manager.pieces[0]
    piece.renew_at = 0
    order = next(runner.manager.next_order(piece, boot_time()))
    address = runner.lives[order.life]
    async with anyio.create_task_group() as tasks:
        async with runner.grant_locks[address]:
            tasks.start_soon(runner.send_order, order, tasks)
            await anyio.sleep(0.2)
            let_through_at = boot_time()
    assert_that(orders.last.sent_at >= let_through_at, Equals(True))
    assert_that(piece.held_until > order.sent_at + order.hold_s, Equals(True))


async def test_a_grant_whose_piece_moved_meanwhile_is_not_sent(
    make_runner, orders
):
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    orders.given.clear()
    piece = runner.manager.pieces[0]
    piece.renew_at = 0
    order = next(runner.manager.next_order(piece, boot_time()))
    address = runner.lives[order.life]
    async with anyio.create_task_group() as tasks:
        async with runner.grant_locks[address]:
            tasks.start_soon(runner.send_order, order, tasks)
            await anyio.sleep(0.2)
            runner.manager.note_dead(order.life)
    assert_that(orders.given, Equals([]))


async def test_a_grant_of_a_replaced_assignment_is_not_sent(
    make_runner, store, orders
):
    """Seen in random faults: an outdated holder got a grant after a reread.

    The grant had waited behind a silent target while another target was given
    the keys.
    """
    runner, dispatcher = make_runner()
    await run_until(runner, dispatcher, all_served)
    orders.given.clear()
    piece = runner.manager.pieces[0]
    piece.renew_at = 0
    order = next(runner.manager.next_order(piece, boot_time()))
    address = runner.lives[order.life]
    stored = store.item
    store.item = Item('', stored.content, stored.revision + 1)
    async with anyio.create_task_group() as tasks:
        async with runner.grant_locks[address]:
            tasks.start_soon(runner.send_order, order, tasks)
            await anyio.sleep(0.2)
            await runner.reread()
    assert_that(orders.given, Equals([]))


async def test_without_the_store_no_grant_reaches_a_later_start(
    make_runner, orders
):
    """Seen in random faults: a target that released its keys started anew.

    It then took them again from the coordinator that had been replaced.
    """
    session = FakeSession(FIRST.member)
    runner, dispatcher = make_runner(session=session)
    await run_until(runner, dispatcher, all_served)
    assert_that(orders.may_reconnect, Equals(True))
    session.is_fresh = False
    piece = runner.manager.pieces[0]
    piece.renew_at = 0
    order = next(runner.manager.next_order(piece, boot_time()))
    async with anyio.create_task_group() as tasks:
        await runner.send_order(order, tasks)
    assert_that(orders.may_reconnect, Equals(False))


async def test_a_coordinator_that_wakes_up_late_gives_no_order(
    make_runner, orders
):
    """A paused process sends what it has prepared before its timers run."""
    session = FakeSession(FIRST.member)
    runner, dispatcher = make_runner(session=session)
    await run_until(runner, dispatcher, all_served)
    orders.given.clear()
    piece = runner.manager.pieces[0]
    piece.renew_at = 0
    order = next(runner.manager.next_order(piece, boot_time()))
    session.store_age_s = runner.manager.settings.outage_hold_s + 1
    async with anyio.create_task_group() as tasks:
        await runner.send_order(order, tasks)
    assert_that(orders.given, Equals([]))
    assert_that(piece.has_order_in_flight, Equals(False))
