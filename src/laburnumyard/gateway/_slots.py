"""Gets slots of targets: from a coordinator, or from a scheduler of our own.

The coordinator of a service counts exactly. While there is none in reach, a
gateway schedules alone: it knows only its own requests, so targets may have to
refuse some, but nobody waits for an election.
"""

import asyncio
from dataclasses import dataclass, replace
from functools import partial
from types import MappingProxyType

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.directory import TargetLife, records_of
from laburnumyard.core.ids import Seconds, ServiceName, TargetId
from laburnumyard.core.scheduling import Outcome, Refusal, Scheduler, WorkId
from laburnumyard.core.shards import ShardManager
from laburnumyard.gateway._coordination import encode_ask
from laburnumyard.gateway._desk import Ask, Desk, Refused, Verdict
from laburnumyard.gateway._elections import Elections
from laburnumyard.gateway._follower import Follower
from laburnumyard.gateway._records import decode_assignment
from laburnumyard.gateway._tuning import Tuning
from laburnumyard.gateway._view import Coordinator, View
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event
from laburnumyard.wire import LinkPool, Peer

MS_PER_SECOND = 1000
# A coordinator that failed is asked again after this pause, in seconds; an
# election takes about as long.
AVOID_S = 0.5
# How long a request waits for an election, in seconds.
ELECTION_S = 0.15
# How often a stored assignment is read while keys have no coordinator.
ASSIGNMENT_INTERVAL_S = 0.5
# Requests that wait are looked at this often, in seconds.
TICK_S = 0.05
REFUSALS = MappingProxyType({refusal.value: refusal for refusal in Refusal})


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot of a target, until it is given back.

    Parameters
    ----------
    life, address
        The target.
    desk, work_id
        Who keeps the slot in this process; None where a coordinator does.
    peer, number
        The coordinator and its number for the request.
    """

    life: TargetLife
    address: str
    desk: Desk | None = None
    work_id: WorkId | None = None
    peer: Peer | None = None
    number: int = 0


class Slots:
    """Where a gateway's requests get their slots.

    Parameters
    ----------
    follower
        Reads stored assignments.
    view
        Who coordinates, and the targets.
    elections
        The roles of this gateway; told of coordinators that are lost.
    pool
        Links to others.
    tuning
        Bounds of schedulers.
    """

    def __init__(
        self,
        follower: Follower,
        view: View,
        elections: Elections,
        pool: LinkPool,
        tuning: Tuning,
    ) -> None:
        """Start without any slot."""
        self.follower = follower
        self.view = view
        self.elections = elections
        self.pool = pool
        self.tuning = tuning
        self.avoided: dict[ServiceName, Seconds] = {}
        self.lone_desks: dict[ServiceName, Desk] = {}
        self.assignments_at: dict[ServiceName, Seconds] = {}
        view.on_directory.append(self.update_targets)

    async def acquire(self, ask: Ask) -> Slot | Refused:
        """Wait for a slot, or for the reason why there is none."""
        coordinator = await self.coordinator_of(ask.service)
        if coordinator is None:
            return await self.acquire_alone(ask)
        desk = self.elections.roles.desk_of(ask.service)
        if desk is not None:
            return await self.acquire_here(desk, ask)
        return await self.acquire_there(coordinator, ask)

    def give_back(self, slot: Slot, outcome: Outcome) -> None:
        """Tell how the request of a slot ended."""
        if slot.desk is not None and slot.work_id is not None:
            slot.desk.finish(slot.work_id, outcome)
        elif slot.peer is not None:
            done = messages.Done(slot.number, outcome.value)
            self.pool.send(slot.peer, done)

    async def coordinator_of(self, service: ServiceName) -> Coordinator | None:
        """Return the coordinator to ask, waiting briefly for an election."""
        until = boot_time() + ELECTION_S
        while boot_time() < until:
            changed = self.view.changed
            known = self.view.coordinators.get(service)
            if known and self.avoided.get(service, 0) <= boot_time():
                return known
            with anyio.move_on_after(until - boot_time()):
                await changed.wait()
        return None

    async def acquire_here(self, desk: Desk, ask: Ask) -> Slot | Refused:
        """Get a slot from a scheduler in this process."""
        answer: asyncio.Future[Verdict] = asyncio.Future()
        work_id = desk.submit(ask, partial(_settle, answer))
        try:
            verdict = await answer
        except BaseException:
            desk.withdraw(work_id)
            raise
        if isinstance(verdict, Refused):
            return verdict
        record = verdict.record
        return Slot(record.life, record.address, desk, work_id)

    async def acquire_there(
        self, coordinator: Coordinator, ask: Ask
    ) -> Slot | Refused:
        """Get a slot from another gateway."""
        member = coordinator.member
        peer = Peer(member.name, member.address, member.incarnation)
        answered = await self.pool.request(
            peer, encode_ask(ask), ask.expires_in_s
        )
        if answered.is_error():
            self.avoided[ask.service] = Seconds(boot_time() + AVOID_S)
            self.elections.suspect(member.name)
            log_event(
                Event.COORDINATOR,
                'WARNING',
                service=ask.service,
                state='unreachable',
                member=member.name,
                kind=answered.error.kind,
                request=ask.attempt_id,
            )
            return await self.acquire_alone(ask)
        permit = answered.ok
        if not isinstance(permit, messages.Permit):
            return Refused(Refusal.NOT_COORDINATOR, Seconds(0))
        if permit.refusal:
            return _refused(permit)
        life = TargetLife(TargetId(permit.target), permit.started_at_ms)
        return Slot(life, permit.address, peer=peer, number=permit.number)

    async def acquire_alone(self, ask: Ask) -> Slot | Refused:
        """Get a slot without a coordinator."""
        desk = self.lone_desks.get(ask.service)
        if desk is None:
            manager = None
            if ask.key is not None:
                manager = ShardManager(self.tuning.shards)
            settings = self.tuning.scheduling
            budget = settings.retry_budget.without_allowance()
            settings = replace(settings, retry_budget=budget, is_alone=False)
            desk = Desk(ask.service, Scheduler(settings, manager))
            desk.update(records_of(self.view.directory, ask.service))
            self.lone_desks[ask.service] = desk
        manager = desk.scheduler.placement
        if isinstance(manager, ShardManager):
            await self.refresh(ask.service, manager)
        return await self.acquire_here(desk, ask)

    async def refresh(
        self, service: ServiceName, manager: ShardManager
    ) -> None:
        """Take the newest assignment that is stored, or was read before."""
        now = boot_time()
        known = self.assignments_at.get(
            service, Seconds(-ASSIGNMENT_INTERVAL_S)
        )
        if now - known < ASSIGNMENT_INTERVAL_S:
            return
        self.assignments_at[service] = now
        if self.follower.health.is_reached:
            await self.follower.read_assignment(service)
        item = self.view.assignments.get(service)
        if item is None:
            return
        decoded = decode_assignment(item)
        if decoded.is_ok():
            manager.follow(decoded.ok.assignment, boot_time())

    def update_targets(self) -> None:
        """Tell the schedulers of this process the targets."""
        for service, desk in self.lone_desks.items():
            desk.update(records_of(self.view.directory, service))

    async def tick(self) -> None:
        """Let time pass at the schedulers of this process."""
        while True:
            await anyio.sleep(TICK_S)
            for desk in tuple(self.lone_desks.values()):
                desk.tick()


def _refused(permit: messages.Permit) -> Refused:
    reason = REFUSALS.get(permit.refusal, Refusal.NOT_COORDINATOR)
    return Refused(reason, Seconds(permit.retry_after_ms / MS_PER_SECOND))


def _settle(answer: 'asyncio.Future[Verdict]', verdict: Verdict) -> None:
    if not answer.done():
        answer.set_result(verdict)
