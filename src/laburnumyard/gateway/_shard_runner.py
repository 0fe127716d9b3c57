"""Executes the shard assignment of one service: moves, grants, releases."""

import time
from collections.abc import Awaitable, Callable, Iterable
from weakref import WeakKeyDictionary

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import (
    Seconds,
    ServiceName,
    TargetId,
)
from laburnumyard.core.shards import (
    Assignment,
    Grant,
    Move,
    Order,
    Piece,
    Reply,
    ShardManager,
    is_outdated,
)
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    records_of,
)
from laburnumyard.core.target_lives import ended_lives, restarted_lives
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._key_recovery import (
    RELEASE_TIMEOUT_S,
    RETRY_PAUSE_S,
    KeyRecovery,
    fencing_moves,
    is_outdated_copy,
)
from laburnumyard.gateway._platform_interface import (
    ConditionalWrite,
    Platform,
    StoreFault,
)
from laburnumyard.gateway._record_encoding import (
    StoredAssignment,
    assignment_key,
    coordinator_key,
    decode_assignment,
    encode_assignment,
)
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from laburnumyard.gateway._store_revision import era_of
from laburnumyard.gateway._store_session import Session
from laburnumyard.gateway._target_entries import RETURN_GRACE_S
from laburnumyard.telemetry import Event, log_event

# Interval between checks for due orders; a tenth of a second is short compared
# with the duration of a grant.
TICK_INTERVAL_S = 0.05
# Interval between balancing rounds: well below the half second in which a hot
# spot must be detected. With 0.25 s, 2 % of the value of a load wave was lost.
BALANCE_INTERVAL_S = 0.15
# A grant is answered immediately.
GRANT_TIMEOUT_S = 0.4
# A grant that was queued longer is rebuilt: its duration counts from when it
# was built, with 0.3 s for the network.
STALE_GRANT_S = 0.1
# Each concurrent order needs a connection, and targets accept few.
MAX_CONCURRENT_RELEASES = 4
# A target that is warming up takes about twice as long per request.
COLD_PACE = 2.0


StandDown = Callable[[Member, ServiceName, int], Awaitable[bool]]


class ShardRunner:
    """Runs the shard manager of a service while this gateway coordinates it.

    Parameters
    ----------
    service
        Name of the service.
    epoch
        Store revision at which this gateway acquired the role.
    platform
        Metadata store and transport of orders.
    view
        Known targets and members.
    session
        Session whose member is this gateway.
    dispatcher
        Dispatcher to run when the owner of a key changes; given to ``run``.
    manager
        Plans moves and orders.

    Attributes
    ----------
    stand_down
        Asks an earlier coordinator to stand down.
    """

    def __init__(
        self,
        service: ServiceName,
        epoch: int,
        platform: Platform,
        view: ClusterView,
        session: Session,
        manager: ShardManager,
    ) -> None:
        """Create the runner; see ``run``."""
        self.stand_down: StandDown = _never_stands_down
        self.service = service
        self.epoch = epoch
        self.platform = platform
        self.view = view
        self.session = session
        self.manager = manager
        self.dispatcher: SlotDispatcher | None = None
        self.lives: dict[TargetLife, str] = {}
        self.grant_locks: dict[str, anyio.Semaphore] = {}
        self.release_locks: dict[str, anyio.Semaphore] = {}
        self.is_stale = False
        # Whether the store has an older assignment than this coordinator.
        self.needs_save = False
        # Whether targets may hold keys that the stored assignment does not
        # name, since the store has lost later ones.
        self.is_restored = False
        # Whether no earlier coordinator sends orders any more.
        self.is_sole_coordinator = False
        # Writer of the stored assignment when it was last read.
        self.writer: Member | None = None
        # Last reply by piece; only changes are logged.
        self.replies: WeakKeyDictionary[Piece, Reply] = WeakKeyDictionary()

    async def run(self, dispatcher: SlotDispatcher) -> None:
        """Load the stored assignment and manage it until cancelled."""
        self.dispatcher = dispatcher
        predecessor = await self.take_over()
        predecessors = [predecessor] if predecessor else []
        if self.is_restored:
            predecessors.extend(await self.claim_restored())
        elif predecessor is not None:
            await self.claim_assignment()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.await_predecessors, predecessors)
            tasks.start_soon(self.send_due_orders, tasks)
            recovery = KeyRecovery(
                self.service, self.platform.orders, self.manager, self.lives
            )
            tasks.start_soon(recovery.run)
            await self.balance(tasks)

    async def take_over(self) -> Member | None:
        """Load the stored assignment; return its writer, None without one."""
        while True:
            read = await self.platform.store.read(assignment_key(self.service))
            if read.is_ok():
                break
            await anyio.sleep(RETRY_PAUSE_S)
        if read.ok.content is None:
            self.is_restored = self.service in self.view.unconfirmed
            return None
        decoded = decode_assignment(read.ok)
        if decoded.is_error():
            log_event(
                Event.FAULT,
                'ERROR',
                key=read.ok.key,
                problem=decoded.error,
            )
            self.manager.revision = read.ok.revision
            return None
        self.is_restored = decoded.ok.is_restored
        assignment, writer = self.adopt_assignment(decoded.ok)
        log_event(
            Event.SHARDS,
            service=self.service,
            state='taken-over',
            epoch=self.epoch,
            revision=assignment.revision,
            pieces=len(assignment.pieces),
            writer=writer.name,
            restored=self.is_restored,
        )
        return writer

    async def claim_restored(self) -> list[Member]:
        """Claim an assignment of which the store may have lost the last part.

        Returns
        -------
        list of Member
            Coordinator that the store may have lost, if any.
        """
        # Entries of targets may have been lost too.
        await anyio.sleep(RETURN_GRACE_S)
        serving = self.refresh_targets()
        lives = {record.target: record.life for record in serving}
        if not self.manager.pieces:
            self.manager.plan(lives, {}, boot_time())
        await self.claim_assignment()
        lost = self.view.unconfirmed.get(self.service)
        return [lost.coordinator.member] if lost else []

    async def claim_assignment(self) -> None:
        """Write the assignment with this gateway as its writer.

        The next coordinator waits only for the stored writer to stop, so
        this gateway must be stored before it sends orders.
        """
        is_claimed = False
        while not is_claimed:
            moves: Iterable[Move] = ()
            if self.is_restored:
                moves = fencing_moves(self.manager, self.lives)
            if await self.save(moves):
                return
            await anyio.sleep(RETRY_PAUSE_S)
            if self.is_stale:
                await self.reread()
            # An applied write without an answer.
            is_own = self.writer == self.session.member
            is_claimed = is_own and not self.is_restored

    def adopt_assignment(
        self, stored: StoredAssignment
    ) -> tuple[Assignment, Member]:
        """Replace the manager's assignment by a stored one."""
        self.writer = stored.writer
        self.manager.take_over(stored.assignment, boot_time())
        for life, address in stored.addresses.items():
            self.lives.setdefault(life, address)
        return stored.assignment, stored.writer

    async def await_predecessors(self, predecessors: Iterable[Member]) -> None:
        """Wait until earlier coordinators stop, then shorten the waits."""
        for predecessor in predecessors:
            has_stopped = False
            while not has_stopped:
                has_stopped = await self.has_predecessor_stopped(predecessor)
                await anyio.sleep(0 if has_stopped else RETRY_PAUSE_S)
        self.is_sole_coordinator = True
        self.manager.note_predecessor_gone(boot_time())
        log_event(
            Event.SHARDS,
            service=self.service,
            state='predecessor-gone',
            epoch=self.epoch,
            predecessor=','.join(each.name for each in predecessors) or 'none',
        )

    async def has_predecessor_stopped(self, predecessor: Member) -> bool:
        """Tell whether an earlier coordinator sends no more orders.

        Proof is a later start or its confirmation. A refused connection is no
        proof, as a faulty network may refuse connections to a live process.
        """
        if predecessor.name == self.session.member.name:
            return True
        known = self.view.members.get(predecessor.name)
        if known and known.incarnation > predecessor.incarnation:
            return True
        return await self.stand_down(predecessor, self.service, self.epoch)

    async def send_due_orders(self, tasks: TaskGroup) -> None:
        """Send due orders until cancelled."""
        while True:
            for order in tuple(self.manager.due_orders(boot_time())):
                tasks.start_soon(self.send_order, order, tasks)
            await anyio.sleep(TICK_INTERVAL_S)

    async def send_order(self, order: Order, tasks: TaskGroup) -> None:
        """Send one order and handle the reply."""
        address = self.lives.get(order.life)
        if address is None:
            self.handle_reply(order, Reply.UNKNOWN, '', 'no address', tasks)
            return
        is_grant = isinstance(order, Grant)
        locks = self.grant_locks if is_grant else self.release_locks
        limit = 1 if is_grant else MAX_CONCURRENT_RELEASES
        lock = locks.setdefault(address, anyio.Semaphore(limit))
        timeout_s = GRANT_TIMEOUT_S if is_grant else RELEASE_TIMEOUT_S
        async with lock:
            current = self.refresh_order(order, tasks)
            if current is None:
                return
            self.manager.unanswered.add(current)
            answer = await self.platform.orders.send(
                current,
                address,
                timeout_s,
                may_reconnect=self.may_reconnect(current),
            )
        self.handle_reply(
            current, answer.reply, answer.handover, answer.detail, tasks
        )

    def has_expired(self, now: Seconds) -> bool:
        """Whether a successor no longer waits for orders of this coordinator.

        Checked before each order, as a paused process sends what it has
        prepared before its timers run.
        """
        age = now - self.session.confirmed_at
        return age > self.manager.settings.outage_hold_s

    def may_reconnect(self, order: Order) -> bool:
        """Whether an order may reach a later start of its target.

        A coordinator that lost the store may have a successor to which the
        target released its keys. A later start of the target does not know
        that, and would take them again.
        """
        return not isinstance(order, Grant) or self.session.is_fresh

    def refresh_order(self, order: Order, tasks: TaskGroup) -> Order | None:
        """Return an order that may be sent now, rebuilt if it is stale.

        The duration of a grant counts from when it was built. A rebuilt grant
        keeps its place in the queue, because requeued grants could starve
        behind pieces that are due earlier.

        Returns
        -------
        Order or None
            None if the piece no longer needs this order.
        """
        now = boot_time()
        is_stale = (
            isinstance(order, Grant) and now - order.sent_at > STALE_GRANT_S
        )
        if self.has_expired(now):
            self.manager.unanswered.discard(order)
            return None
        if not is_stale and not is_outdated(order):
            return order
        self.manager.unanswered.discard(order)
        needed = next(self.manager.next_order(order.piece, now), None)
        if isinstance(needed, Grant) and needed.life == order.life:
            return needed
        if needed is not None:
            tasks.start_soon(self.send_order, needed, tasks)
        return None

    def handle_reply(
        self,
        order: Order,
        reply: Reply,
        handover: str,
        detail: str,
        tasks: TaskGroup,
    ) -> None:
        """Record a reply and send the next orders of the piece."""
        now = boot_time()
        was_in_force = order.piece.is_in_force(now)
        reread = self.manager.note_reply(order, reply, handover, now)
        self.is_stale = self.is_stale or reread
        has_changed = order.piece.is_in_force(now) != was_in_force
        is_new_reply = self.replies.get(order.piece) is not reply
        self.replies[order.piece] = reply
        if is_new_reply or has_changed:
            log_event(
                Event.ORDER,
                service=self.service,
                order=type(order).__name__.lower(),
                target=order.life.target,
                first=order.first,
                last=order.last,
                token=order.token,
                reply=reply,
                detail=detail,
            )
        for following in tuple(self.manager.next_order(order.piece, now)):
            tasks.start_soon(self.send_order, following, tasks)
        if has_changed and self.dispatcher:
            self.dispatcher.dispatch()

    async def balance(self, tasks: TaskGroup) -> None:
        """Plan, store and apply moves until cancelled."""
        while True:
            if self.is_stale:
                await self.reread()
            if self.needs_save:
                self.needs_save = not await self.save(())
                await anyio.sleep(BALANCE_INTERVAL_S)
                continue
            serving = self.refresh_targets()
            now = boot_time()
            lives = {record.target: record.life for record in serving}
            capacities = {
                record.target: self.capacity(record) for record in serving
            }
            quiet = _quiet_targets(self.dispatcher, now)
            moves = self.manager.plan(lives, capacities, now, quiet)
            if moves or self.manager.has_stale_former_holders():
                await self.save(moves)
            for order in tuple(self.manager.due_orders(boot_time())):
                tasks.start_soon(self.send_order, order, tasks)
            await anyio.sleep(BALANCE_INTERVAL_S)

    def refresh_targets(self) -> list[TargetRecord]:
        """Update known target lives and return the targets that are ready."""
        records = tuple(records_of(self.view.directory, self.service))
        for record in records:
            self.lives[record.life] = record.address
        for life in ended_lives(self.lives, self.view.directory):
            if life not in self.manager.dead:
                _log_ended(life)
            self.manager.note_dead(life)
        replaced = restarted_lives(self.lives, self.view.directory)
        self.manager.restarted.update(replaced)
        return [record for record in records if record.accepts_requests]

    def capacity(self, record: TargetRecord) -> float:
        """Return the capacity of a target, in slot seconds per second."""
        if self.dispatcher is None:
            return float(record.slots)
        scheduler = self.dispatcher.scheduler
        slots = scheduler.targets.get(record.target)
        if slots is None:
            return float(record.slots)
        now = boot_time()
        capacity = slots.planned_capacity(scheduler.times, now)
        if record.is_cold(now):
            return min(capacity, record.slots / COLD_PACE)
        return capacity

    async def save(self, moves: Iterable[Move]) -> bool:
        """Store moves, then apply them.

        Returns
        -------
        bool
            Whether the store confirmed the write.
        """
        moves = list(moves)
        pieces = self.manager.preview(moves)
        write = ConditionalWrite(
            {
                coordinator_key(self.service): self.epoch,
                assignment_key(self.service): self.manager.revision,
            },
            {
                assignment_key(self.service): encode_assignment(
                    pieces,
                    self.session.member,
                    self.lives,
                    era_of(self.epoch),
                ),
            },
        )
        started = time.monotonic()
        saved = await self.platform.store.compare_and_swap(write)
        if saved.is_error():
            # A write without a response may still be applied, so the stored
            # assignment has to be read again.
            uncertain = saved.error.may_apply
            conflict = saved.error.fault is StoreFault.CONFLICT
            self.is_stale = self.is_stale or uncertain or conflict
            log_event(
                Event.SHARDS,
                'WARNING',
                service=self.service,
                state='not-saved',
                fault=saved.error.fault,
                revision=self.manager.revision,
            )
            return False
        now = boot_time()
        self.manager.apply(moves, saved.ok, now)
        log_event(
            Event.SHARDS,
            service=self.service,
            state='saved',
            revision=saved.ok,
            moves=len(moves),
            pieces=len(self.manager.pieces),
            save_ms=round((time.monotonic() - started) * 1000, 1),
        )
        return True

    async def reread(self) -> None:
        """Reload the stored assignment if its revision differs."""
        read = await self.platform.store.read(assignment_key(self.service))
        if read.is_error():
            return
        self.is_stale = False
        if read.ok.revision == self.manager.revision:
            return
        decoded = decode_assignment(read.ok)
        state = 'read-again'
        era = self.session.health.era
        if is_outdated_copy(read.ok, decoded, self.manager.revision, era):
            self.manager.revision = read.ok.revision
            self.needs_save = True
            state = 'kept'
        elif decoded.is_ok():
            self.adopt_again(decoded.ok)
        else:
            log_event(Event.FAULT, 'ERROR', problem=decoded.error)
            return
        log_event(
            Event.SHARDS,
            service=self.service,
            state=state,
            revision=read.ok.revision,
            writer=self.writer.name if self.writer else 'none',
        )

    def adopt_again(self, stored: StoredAssignment) -> None:
        """Replace the assignment by one that was read again."""
        self.is_restored = stored.is_restored
        _, writer = self.adopt_assignment(stored)
        if self.is_sole_coordinator and writer == self.session.member:
            self.manager.note_predecessor_gone(boot_time())


def _quiet_targets(
    dispatcher: SlotDispatcher | None, now: Seconds
) -> frozenset[TargetId]:
    if dispatcher is None:
        return frozenset()
    return dispatcher.scheduler.limiter.quiet_targets(now)


def _log_ended(life: TargetLife) -> None:
    log_event(
        Event.TARGET,
        target=life.target,
        state='ended',
        started_at_ms=life.started_at_ms,
        proof='later-start',
    )


async def _never_stands_down(
    member: Member, service: ServiceName, epoch: int
) -> bool:
    return False
