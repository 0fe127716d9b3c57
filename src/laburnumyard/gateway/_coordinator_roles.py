"""Services that this gateway coordinates, and messages between gateways."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import partial, singledispatchmethod

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import (
    AttemptId,
    DaemonName,
    DataCentre,
    Incarnation,
    RouteName,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.scheduling import (
    OWN_SENDER,
    Refusal,
    Scheduler,
    WorkId,
)
from laburnumyard.core.shards import MAX_SHARD_KEY, ShardManager
from laburnumyard.core.target_directory import records_of
from laburnumyard.gateway._admission_metrics import (
    REPORT_INTERVAL_S,
    report_admission,
)
from laburnumyard.gateway._cluster_view import (
    ClusterView,
    Coordinator,
    Member,
    is_same_process,
)
from laburnumyard.gateway._decision_explainer import DecisionExplainer
from laburnumyard.gateway._derived_settings import DerivedSettings, cold_rate
from laburnumyard.gateway._limit_messages import decode_limits
from laburnumyard.gateway._load_messages import decode_done
from laburnumyard.gateway._platform_interface import Platform
from laburnumyard.gateway._shard_runner import ShardRunner
from laburnumyard.gateway._slot_dispatcher import (
    SlotAnswer,
    SlotDispatcher,
    SlotGranted,
    SlotRefused,
    SlotRequest,
)
from laburnumyard.gateway._store_revision import era_of
from laburnumyard.gateway._store_session import Session
from laburnumyard.gateway._task_supervision import (
    SupervisedTasks,
    keep_running,
)
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event
from laburnumyard.wire import Connection, LinkPool, Peer

MS_PER_SECOND = 1000
NO_KEY = MAX_SHARD_KEY + 1
# Interval between scheduler ticks; the shortest latency objective of the
# users is 200 ms.
TICK_INTERVAL_S = 0.05
# The same without a role: each wake-up of an idle gateway costs processor time.
IDLE_INTERVAL_S = 0.25
# Timeout of a request to an earlier coordinator to stand down.
STAND_DOWN_TIMEOUT_S = 0.4

Link = Connection
RemoteRequests = dict[Link, dict[int, 'RemoteRequest']]
# Stands in a request that its dispatcher has not numbered yet.
NO_WORK = WorkId(0)


@dataclass(slots=True)
class CoordinatorRole:
    """A service that this gateway coordinates.

    Parameters
    ----------
    epoch
        Store revision at which the role was acquired.
    dispatcher
        Scheduler of the service and its waiting requests.
    runner
        Manages the keys of the service; None if they have no owners.
    scope
        Cancel scope of the tasks of the role.
    """

    epoch: int
    dispatcher: SlotDispatcher
    runner: ShardRunner | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True)
class RemoteRequest:
    """A slot request of another gateway."""

    dispatcher: SlotDispatcher
    work_id: WorkId = NO_WORK


class Coordination:
    """Runs the coordinator roles of this gateway.

    Parameters
    ----------
    platform
        Metadata store and transport of orders.
    view
        Known coordinators and targets.
    session
        Store session that the role keys are attached to.
    derived_settings
        Settings of schedulers and shard managers.
    pool
        Links to other gateways.
    tasks
        Background tasks; run the roles.
    """

    def __init__(
        self,
        platform: Platform,
        view: ClusterView,
        session: Session,
        derived_settings: DerivedSettings,
        pool: LinkPool,
        tasks: SupervisedTasks,
    ) -> None:
        """Create the object without roles."""
        self.pool = pool
        self.platform = platform
        self.view = view
        self.session = session
        self.derived_settings = derived_settings
        self.tasks = tasks
        self.roles: dict[ServiceName, CoordinatorRole] = {}
        self.remote: RemoteRequests = {}
        self.is_leaving = False
        self.decisions = DecisionExplainer()
        # Bound once: each access to a singledispatchmethod builds a wrapper,
        # which costs several microseconds a message.
        self.handle_message = self.handle_message
        view.on_directory.append(self.update_targets)
        view.on_coordinators.append(self.drop_lost_roles)

    def has_roles(self) -> bool:
        """Whether this gateway coordinates a service."""
        return bool(self.roles)

    def dispatcher_of(self, service: ServiceName) -> SlotDispatcher | None:
        """Return the dispatcher of a service, None if not coordinated here."""
        role = self.roles.get(service)
        return role.dispatcher if role else None

    def assume_role(self, service: ServiceName, epoch: int) -> None:
        """Start coordinating a service, or go on with it in a new epoch."""
        if service in self.roles:
            self.confirm_role(service, epoch)
            own_role = Coordinator(self.session.member, epoch)
            self.view.adopt_coordinator(service, own_role)
            return
        spec = self.view.routes and self.view.routes.services.get(service)
        manager = None
        if spec and spec.is_keyed:
            manager = ShardManager(self.derived_settings.shards)
        settings = self.derived_settings.scheduling
        budget = settings.retry_budget.for_successor(boot_time())
        settings = replace(settings, retry_budget=budget)
        dispatcher = SlotDispatcher(service, Scheduler(settings, manager))
        role = CoordinatorRole(epoch, dispatcher)
        self.roles[service] = role
        _update_cold_rate(self, service, role)
        dispatcher.update(records_of(self.view.directory, service))
        own_role = Coordinator(self.session.member, epoch)
        log_event(
            Event.COORDINATOR,
            service=service,
            state='taken',
            epoch=epoch,
            keyed=manager is not None,
        )
        if manager is not None:
            runner = ShardRunner(
                service,
                epoch,
                self.platform,
                self.view,
                self.session,
                manager,
            )
            runner.stand_down = self.stand_down
            role.runner = runner
            self.tasks.start_soon('role', self.run_role, role, runner)
        self.view.adopt_coordinator(service, own_role)

    async def run_role(
        self, role: CoordinatorRole, runner: ShardRunner
    ) -> None:
        """Manage the shards of a service until the role ends."""
        with role.scope:
            await keep_running('shards', partial(runner.run, role.dispatcher))

    def drop_role(self, service: ServiceName, reason: str) -> None:
        """Stop coordinating a service and refuse its waiting requests."""
        role = self.roles.pop(service, None)
        if role is None:
            return
        role.scope.cancel()
        report_admission(service, (), boot_time())
        log_event(
            Event.COORDINATOR,
            service=service,
            state='dropped',
            epoch=role.epoch,
            reason=reason,
        )
        role.dispatcher.close()

    def confirm_role(self, service: ServiceName, epoch: int) -> None:
        """Go on with a role in an epoch of a later era of the store."""
        role = self.roles[service]
        log_event(
            Event.COORDINATOR,
            service=service,
            state='confirmed',
            epoch=epoch,
            before=role.epoch,
        )
        role.epoch = epoch
        if role.runner is not None:
            # The runner reads what is stored, and replaces what is older.
            role.runner.epoch = epoch
            role.runner.is_stale = True

    def drop_lost_roles(self) -> None:
        """Drop roles whose epoch is no longer the newest known one.

        If the store has lost the record of a role, the role is kept until it is
        claimed again or another gateway has it.
        """
        for service, role in tuple(self.roles.items()):
            coordinator = self.view.coordinators.get(service)
            if coordinator is None:
                if era_of(role.epoch) >= self.session.health.era:
                    self.drop_role(service, 'superseded')
            elif coordinator.epoch != role.epoch:
                if is_same_process(coordinator.member, self.session.member):
                    self.confirm_role(service, coordinator.epoch)
                else:
                    self.drop_role(service, 'superseded')

    def drop_outdated_roles(self) -> None:
        """Drop all roles after ``outage_hold_s`` without the store."""
        age = boot_time() - self.session.confirmed_at
        if self.roles and age > self.derived_settings.shards.outage_hold_s:
            for service in tuple(self.roles):
                self.drop_role(service, 'store-lost-too-long')

    def leave(self, reason: str = 'leaving', *, is_final: bool = True) -> None:
        """Drop every role and, if that is final, acquire none any more."""
        self.is_leaving = self.is_leaving or is_final
        for service in tuple(self.roles):
            self.drop_role(service, reason)

    def update_targets(self) -> None:
        """Pass each dispatcher the targets of its service."""
        for service, role in self.roles.items():
            role.dispatcher.update(records_of(self.view.directory, service))

    async def run(self) -> None:
        """Tick each dispatcher until cancelled."""
        report_at = Seconds(0)
        while True:
            await anyio.sleep(
                TICK_INTERVAL_S if self.roles else IDLE_INTERVAL_S
            )
            self.drop_outdated_roles()
            if boot_time() >= report_at:
                report_at = Seconds(boot_time() + REPORT_INTERVAL_S)
                _report_admissions(self.roles)
            for service, role in tuple(self.roles.items()):
                _update_cold_rate(self, service, role)
                role.dispatcher.tick()

    @singledispatchmethod
    def handle_message(self, message: object, link: Link) -> None:
        """Handle a message of another gateway; ignore unknown types."""

    @handle_message.register
    def _(self, message: messages.Ask, link: Link) -> None:
        dispatcher = self.dispatcher_of(ServiceName(message.service))
        number = message.number
        if dispatcher is None:
            refusal = SlotRefused(Refusal.NOT_COORDINATOR, Seconds(0))
            link.send(_encode_permit(number, refusal, 0))
            return
        remote_requests = self.remote.get(link)
        if remote_requests is None:
            remote_requests = {}
            self.remote[link] = remote_requests
            link.on_closed.append(self.withdraw_link_requests)
        sender = DaemonName(link.remote.daemon) if link.remote else OWN_SENDER
        # A refusal removes the entry, maybe before `submit` returns.
        remote_request = RemoteRequest(dispatcher)
        remote_requests[number] = remote_request
        remote_request.work_id = dispatcher.submit(
            decode_slot_request(message, sender),
            partial(_send_permit, link, number, self.remote),
        )

    @handle_message.register
    def _(self, message: messages.Done, link: Link) -> None:
        work = self.remote.get(link, {}).pop(message.number, None)
        if work is not None:
            work.dispatcher.finish(work.work_id, decode_done(message))

    @handle_message.register
    def _(self, message: messages.TargetLimits, link: Link) -> None:
        dispatcher = self.dispatcher_of(ServiceName(message.service))
        if dispatcher is not None:
            for life, limit in decode_limits(message.limits, boot_time()):
                dispatcher.scheduler.limiter.adopt(life, limit)

    @handle_message.register
    def _(self, message: messages.Cancel, link: Link) -> None:
        work = self.remote.get(link, {}).pop(message.number, None)
        if work is not None:
            work.dispatcher.withdraw(work.work_id)

    @handle_message.register
    def _(self, message: messages.StandDown, link: Link) -> None:
        sender = link.remote
        if sender is None:
            return
        member = Member(
            DaemonName(sender.daemon),
            sender.peer_address,
            Incarnation(sender.incarnation),
        )
        service = ServiceName(message.service)
        self.view.adopt_coordinator(service, Coordinator(member, message.epoch))
        role = self.roles.get(service)
        if role is None or role.epoch >= message.epoch:
            link.send(messages.Pong(message.number))

    async def stand_down(
        self, member: Member, service: ServiceName, epoch: int
    ) -> bool:
        """Ask an earlier coordinator to stand down.

        Returns
        -------
        bool
            Whether it confirmed that it sends no more orders.
        """
        peer = Peer(member.name, member.address)
        message = messages.StandDown(0, service, epoch)
        reply = await self.pool.request(peer, message, STAND_DOWN_TIMEOUT_S)
        return reply.is_ok()

    def withdraw_link_requests(self, link: Link) -> None:
        """Withdraw the requests of a gateway whose link closed."""
        for work in self.remote.pop(link, {}).values():
            work.dispatcher.withdraw(work.work_id)


def _report_admissions(roles: Mapping[ServiceName, CoordinatorRole]) -> None:
    now = boot_time()
    for service, role in roles.items():
        targets = role.dispatcher.scheduler.targets.values()
        report_admission(service, targets, now)


def _update_cold_rate(
    coordination: Coordination, service: ServiceName, role: CoordinatorRole
) -> None:
    """Pass a scheduler the rate of cold targets, and how long it is alone.

    Once the session of this gateway may have expired, another gateway may
    coordinate the service too.
    """
    limiter = role.dispatcher.scheduler.limiter
    limiter.warm_up_per_s = cold_rate(
        coordination.view, service, coordination.derived_settings
    )
    limiter.sole_until = coordination.session.fresh_until


def encode_slot_request(slot_request: SlotRequest) -> messages.Ask:
    """Return a slot request as a message to the coordinator."""
    return messages.Ask(
        number=0,
        service=slot_request.service,
        attempt_id=slot_request.attempt_id,
        route=slot_request.route,
        rank=slot_request.rank,
        key=NO_KEY if slot_request.key is None else slot_request.key,
        data_centre=slot_request.data_centre,
        due_ms=max(0, int(slot_request.due_in_s * MS_PER_SECOND)),
        expires_ms=max(0, int(slot_request.expires_in_s * MS_PER_SECOND)),
        returned=slot_request.is_returned,
        excluded=tuple(map(messages.TargetRef, slot_request.excluded)),
        fingerprint=slot_request.fingerprint,
        sends=slot_request.sends,
        cost_class=slot_request.cost_class,
        waited_ms=max(0, int(slot_request.waited_s * MS_PER_SECOND)),
    )


def decode_slot_request(
    message: messages.Ask, sender: DaemonName = OWN_SENDER
) -> SlotRequest:
    """Return the slot request of a message from a gateway."""
    return SlotRequest(
        ServiceName(message.service),
        RouteName(message.route),
        AttemptId(message.attempt_id),
        message.rank,
        ShardKey(message.key) if message.key < NO_KEY else None,
        DataCentre(message.data_centre),
        Seconds(message.due_ms / MS_PER_SECOND),
        Seconds(message.expires_ms / MS_PER_SECOND),
        message.returned,
        frozenset(TargetId(ref.target) for ref in message.excluded),
        message.fingerprint,
        message.sends,
        sender,
        cost_class=message.cost_class,
        waited_s=Seconds(message.waited_ms / MS_PER_SECOND),
    )


def _send_permit(
    link: Link, number: int, remote: RemoteRequests, slot_answer: SlotAnswer
) -> None:
    if isinstance(slot_answer, SlotRefused):
        # Nothing more is sent about a refused request.
        remote.get(link, {}).pop(number, None)
    # This gateway sends requests too.
    link.send(_encode_permit(number, slot_answer, len(remote) + 1))


def _encode_permit(
    number: int, slot_answer: SlotAnswer, gateways: int
) -> messages.Permit:
    if isinstance(slot_answer, SlotGranted):
        record = slot_answer.record
        return messages.Permit(
            number,
            record.target,
            record.life.started_at_ms,
            record.address,
            '',
            0,
            gateways,
            1 + int(slot_answer.waited_s * MS_PER_SECOND),
            slot_answer.is_for_cold,
        )
    retry_ms = int(slot_answer.retry_after_s * MS_PER_SECOND)
    return messages.Permit(
        number,
        '',
        0,
        '',
        slot_answer.reason.value,
        retry_ms,
        gateways,
        0,
        is_for_cold=False,
    )
