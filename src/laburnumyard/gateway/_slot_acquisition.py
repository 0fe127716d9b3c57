"""Acquires target slots from a coordinator or from a local scheduler.

The coordinator of a service counts its slots exactly. While none is reachable,
a gateway schedules locally: it knows only its own requests, so targets may
refuse some, but no request waits for an election.
"""

import asyncio
from dataclasses import dataclass, replace
from functools import partial
from types import MappingProxyType

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.admission import UNCHECKED_GRANT, Grant
from laburnumyard.core.ids import Seconds, ServiceName, TargetId
from laburnumyard.core.rate_limits import RateLimit
from laburnumyard.core.scheduling import Refusal, RunReport, Scheduler, WorkId
from laburnumyard.core.shards import ShardManager
from laburnumyard.core.target_directory import TargetLife, records_of
from laburnumyard.gateway._cluster_view import ClusterView, Coordinator
from laburnumyard.gateway._coordinator_elections import Elections
from laburnumyard.gateway._coordinator_roles import encode_slot_request
from laburnumyard.gateway._derived_settings import DerivedSettings, cold_rate
from laburnumyard.gateway._limit_messages import encode_limits
from laburnumyard.gateway._load_messages import encode_done
from laburnumyard.gateway._record_encoding import decode_assignment
from laburnumyard.gateway._slot_dispatcher import (
    SlotAnswer,
    SlotDispatcher,
    SlotRefused,
    SlotRequest,
)
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event
from laburnumyard.wire import LinkPool, Peer

MS_PER_SECOND = 1000
# Pause before a failed coordinator is asked again; an election takes about as
# long.
COORDINATOR_BACKOFF_S = 0.5
# Time a request waits for an election.
ELECTION_WAIT_S = 0.15
# Interval between reads of a stored assignment without a coordinator.
ASSIGNMENT_INTERVAL_S = 0.5
# Interval between ticks of local schedulers.
TICK_INTERVAL_S = 0.05
# The same without any: each wake-up of an idle gateway costs processor time.
IDLE_INTERVAL_S = 0.25
# Without a coordinator, a gateway that has just started knows few others. It
# takes the fleet for larger than the largest deployment, of 74 gateways.
FEW_KNOWN_S = 20.0
ASSUMED_GATEWAYS = 100
REFUSALS = MappingProxyType({refusal.value: refusal for refusal in Refusal})


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot of a target, held until it is released.

    Parameters
    ----------
    life, address
        Target life and its address.
    dispatcher, work_id
        Dispatcher in this process that granted the slot; None if remote.
    peer, number
        Remote coordinator and message number of the request.
    grant
        When and for what it was granted.
    """

    life: TargetLife
    address: str
    dispatcher: SlotDispatcher | None = None
    work_id: WorkId | None = None
    peer: Peer | None = None
    number: int = 0
    grant: Grant = UNCHECKED_GRANT


class Slots:
    """Acquires and releases target slots.

    Parameters
    ----------
    watcher
        Reads stored assignments.
    view
        Known coordinators and targets.
    elections
        Roles of this gateway; probes coordinators that fail.
    pool
        Links to other gateways.
    derived_settings
        Settings of schedulers.
    """

    def __init__(
        self,
        watcher: StoreWatcher,
        view: ClusterView,
        elections: Elections,
        pool: LinkPool,
        derived_settings: DerivedSettings,
    ) -> None:
        """Create the object without slots."""
        self.watcher = watcher
        self.view = view
        self.elections = elections
        self.pool = pool
        self.derived_settings = derived_settings
        self.backoff_until: dict[ServiceName, Seconds] = {}
        self.local_dispatchers: dict[ServiceName, SlotDispatcher] = {}
        self.assignment_read_at: dict[ServiceName, Seconds] = {}
        # Gateways that share each service, as its coordinator last counted.
        self.gateways: dict[ServiceName, int] = {}
        # The most that any coordinator has counted.
        self.most_gateways = 0
        self.started_at = boot_time()
        # Epoch of the coordinator that was last told the known rate limits.
        self.informed_epochs: dict[ServiceName, int] = {}
        view.on_directory.append(self.update_targets)
        view.on_coordinators.append(self.inform_coordinators)

    async def acquire(self, slot_request: SlotRequest) -> Slot | SlotRefused:
        """Wait for a slot or its refusal."""
        coordinator = await self.coordinator_of(slot_request.service)
        if coordinator is None:
            return await self.acquire_uncoordinated(slot_request)
        dispatcher = self.elections.coordination.dispatcher_of(
            slot_request.service
        )
        if dispatcher is not None:
            return await self.acquire_local(dispatcher, slot_request)
        return await self.acquire_remote(coordinator, slot_request)

    def release(self, slot: Slot, report: RunReport) -> None:
        """Release a slot.

        Parameters
        ----------
        slot
            The slot.
        report
            How the run of its request ended.
        """
        if slot.dispatcher is not None and slot.work_id is not None:
            slot.dispatcher.finish(slot.work_id, report)
        elif slot.peer is not None:
            self.pool.send(slot.peer, encode_done(slot.number, report))

    def inform_coordinators(self) -> None:
        """Tell each new coordinator the rate limits of its targets."""
        for service, coordinator in self.view.coordinators.items():
            if self.informed_epochs.get(service) == coordinator.epoch:
                continue
            self.informed_epochs[service] = coordinator.epoch
            limits = self.limits_of(service)
            dispatcher = self.elections.coordination.dispatcher_of(service)
            if dispatcher is not None:
                for life, limit in limits.items():
                    dispatcher.scheduler.limiter.adopt(life, limit)
            elif limits:
                member = coordinator.member
                peer = Peer(member.name, member.address, member.incarnation)
                message = encode_limits(service, limits, boot_time())
                self.pool.send(peer, message)

    def limits_of(self, service: ServiceName) -> dict[TargetLife, RateLimit]:
        """Return the known rate limits of a service's targets."""
        now = boot_time()
        limits = {
            record.life: self.view.limits.current(record.life, now)
            for record in records_of(self.view.directory, service)
        }
        return {
            life: limit for life, limit in limits.items() if limit is not None
        }

    async def coordinator_of(self, service: ServiceName) -> Coordinator | None:
        """Return the coordinator, waiting up to ``ELECTION_WAIT_S`` for one."""
        until = boot_time() + ELECTION_WAIT_S
        while boot_time() < until:
            changed = self.view.changed
            known = self.view.coordinators.get(service)
            if known and self.backoff_until.get(service, 0) <= boot_time():
                return known
            with anyio.move_on_after(until - boot_time()):
                await changed.wait()
        return None

    async def acquire_local(
        self, dispatcher: SlotDispatcher, slot_request: SlotRequest
    ) -> Slot | SlotRefused:
        """Acquire a slot from a dispatcher in this process."""
        answer: asyncio.Future[SlotAnswer] = asyncio.Future()
        asked_at = boot_time()
        work_id = dispatcher.submit(slot_request, partial(_resolve, answer))
        try:
            slot_answer = await answer
        except BaseException:
            dispatcher.withdraw(work_id)
            raise
        if isinstance(slot_answer, SlotRefused):
            return slot_answer
        record = slot_answer.record
        grant = Grant(asked_at + slot_answer.waited_s, slot_answer.is_for_cold)
        return Slot(
            record.life, record.address, dispatcher, work_id, grant=grant
        )

    async def acquire_remote(
        self, coordinator: Coordinator, slot_request: SlotRequest
    ) -> Slot | SlotRefused:
        """Acquire a slot from another gateway."""
        member = coordinator.member
        peer = Peer(member.name, member.address, member.incarnation)
        asked_at = boot_time()
        reply = await self.pool.request(
            peer, encode_slot_request(slot_request), slot_request.expires_in_s
        )
        if reply.is_error():
            self.backoff_until[slot_request.service] = Seconds(
                boot_time() + COORDINATOR_BACKOFF_S
            )
            self.elections.suspect(member.name)
            log_event(
                Event.COORDINATOR,
                'WARNING',
                service=slot_request.service,
                state='unreachable',
                member=member.name,
                kind=reply.error.kind,
                request=slot_request.attempt_id,
            )
            return await self.acquire_uncoordinated(slot_request)
        permit = reply.ok
        if not isinstance(permit, messages.Permit):
            return SlotRefused(Refusal.NOT_COORDINATOR, Seconds(0))
        self.gateways[slot_request.service] = permit.gateways
        # A new coordinator has counted few of them.
        self.most_gateways = max(self.most_gateways, permit.gateways)
        if permit.refusal:
            return _decode_refusal(permit)
        life = TargetLife(TargetId(permit.target), permit.started_at_ms)
        return Slot(
            life,
            permit.address,
            peer=peer,
            number=permit.number,
            grant=_read_grant(permit, asked_at),
        )

    async def acquire_uncoordinated(
        self, slot_request: SlotRequest
    ) -> Slot | SlotRefused:
        """Acquire a slot from the local scheduler without a coordinator."""
        dispatcher = self.local_dispatchers.get(slot_request.service)
        if dispatcher is None:
            manager = None
            if slot_request.key is not None:
                manager = ShardManager(self.derived_settings.shards)
            settings = self.derived_settings.scheduling
            budget = settings.retry_budget.without_allowance()
            settings = replace(
                settings, retry_budget=budget, is_only_scheduler=False
            )
            dispatcher = SlotDispatcher(
                slot_request.service, Scheduler(settings, manager)
            )
            dispatcher.update(
                records_of(self.view.directory, slot_request.service)
            )
            self.local_dispatchers[slot_request.service] = dispatcher
        self.share_limits(slot_request.service, dispatcher)
        manager = dispatcher.scheduler.placement
        if isinstance(manager, ShardManager):
            await self.refresh_assignment(slot_request.service, manager)
        return await self.acquire_local(dispatcher, slot_request)

    def share_limits(
        self, service: ServiceName, dispatcher: SlotDispatcher
    ) -> None:
        """Give a local scheduler this gateway's share of the rate limits.

        Without a coordinator, every gateway may send to every target.
        """
        gateways = max(
            1, self.gateways.get(service, 0), len(self.view.members) + 1
        )
        limiter = dispatcher.scheduler.limiter
        limiter.share = 1 / gateways
        limiter.cold_share = 1 / max(gateways, self.least_gateways())
        limiter.warm_up_per_s = cold_rate(
            self.view, service, self.derived_settings
        )
        limiter.turns_of = self.elections.session.member.name
        for life, limit in self.limits_of(service).items():
            limiter.adopt(life, limit)

    def least_gateways(self) -> int:
        """Return how many gateways may send to a cold target at least."""
        if boot_time() - self.started_at < FEW_KNOWN_S:
            return max(self.most_gateways, ASSUMED_GATEWAYS)
        return self.most_gateways

    async def refresh_assignment(
        self, service: ServiceName, manager: ShardManager
    ) -> None:
        """Load the stored assignment, or the cached one in an outage."""
        now = boot_time()
        known = self.assignment_read_at.get(
            service, Seconds(-ASSIGNMENT_INTERVAL_S)
        )
        if now - known < ASSIGNMENT_INTERVAL_S:
            return
        self.assignment_read_at[service] = now
        if not self.watcher.health.is_lost:
            await self.watcher.read_assignment(service)
        item = self.view.assignments.get(service)
        if item is None:
            return
        decoded = decode_assignment(item)
        if decoded.is_ok():
            manager.follow(decoded.ok.assignment, boot_time())

    def update_targets(self) -> None:
        """Pass the local dispatchers the current targets."""
        for service, dispatcher in self.local_dispatchers.items():
            dispatcher.update(records_of(self.view.directory, service))

    async def tick(self) -> None:
        """Tick the local dispatchers until cancelled."""
        while True:
            is_idle = not self.local_dispatchers
            await anyio.sleep(IDLE_INTERVAL_S if is_idle else TICK_INTERVAL_S)
            for dispatcher in tuple(self.local_dispatchers.values()):
                dispatcher.tick()


def _read_grant(permit: messages.Permit, asked_at: Seconds) -> Grant:
    """Return the grant of a permit, as early as it may have been."""
    if not permit.waited_ms:
        # A coordinator of an earlier version does not state either.
        return Grant(boot_time(), is_for_cold=True)
    waited_s = (permit.waited_ms - 1) / MS_PER_SECOND
    return Grant(asked_at + waited_s, permit.is_for_cold)


def _decode_refusal(permit: messages.Permit) -> SlotRefused:
    reason = REFUSALS.get(permit.refusal, Refusal.NOT_COORDINATOR)
    return SlotRefused(reason, Seconds(permit.retry_after_ms / MS_PER_SECOND))


def _resolve(
    answer: 'asyncio.Future[SlotAnswer]', slot_answer: SlotAnswer
) -> None:
    if not answer.done():
        answer.set_result(slot_answer)
