"""The services that a gateway schedules, and messages about them."""

from dataclasses import dataclass, field, replace
from functools import partial, singledispatchmethod
from types import MappingProxyType

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clocks import boot_time
from laburnumyard.core.directory import records_of
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
from laburnumyard.core.scheduling import Outcome, Refusal, Scheduler, WorkId
from laburnumyard.core.shards import MAX_SHARD_KEY, ShardManager
from laburnumyard.gateway._desk import Ask, Desk, Granted, Refused, Verdict
from laburnumyard.gateway._ports import Platform
from laburnumyard.gateway._session import Session
from laburnumyard.gateway._shard_runner import ShardRunner
from laburnumyard.gateway._supervision import keep_running
from laburnumyard.gateway._tuning import Tuning
from laburnumyard.gateway._view import Coordinator, Member, View
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event
from laburnumyard.wire import Connection, LinkPool, Peer

MS_PER_SECOND = 1000
NO_KEY = MAX_SHARD_KEY + 1
# Requests that wait are looked at this often, in seconds; the shortest
# objective of the users is 200 ms.
TICK_S = 0.05
# The longest wait for an earlier coordinator to stand down, in seconds.
STAND_DOWN_S = 0.4
OUTCOMES = MappingProxyType({outcome.value: outcome for outcome in Outcome})

Link = Connection


@dataclass(slots=True)
class Role:
    """A service that this gateway coordinates.

    Parameters
    ----------
    epoch
        The revision at which it took the role.
    desk
        Its requests.
    scope
        Ends what runs for the role.
    """

    epoch: int
    desk: Desk
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True)
class RemoteWork:
    """A request of another gateway."""

    desk: Desk
    work_id: WorkId


class Coordination:
    """Fills the roles of coordinator that a gateway has.

    Parameters
    ----------
    platform
        The store and the way to give orders.
    view
        Who coordinates what, and the targets.
    session
        The session under which roles are held.
    tuning
        Bounds of schedulers and shard managers.
    pool
        Links to earlier coordinators.
    tasks
        Where roles run.
    """

    def __init__(
        self,
        platform: Platform,
        view: View,
        session: Session,
        tuning: Tuning,
        pool: LinkPool,
        tasks: TaskGroup,
    ) -> None:
        """Start without roles."""
        self.pool = pool
        self.platform = platform
        self.view = view
        self.session = session
        self.tuning = tuning
        self.tasks = tasks
        self.roles: dict[ServiceName, Role] = {}
        self.remote: dict[Link, dict[int, RemoteWork]] = {}
        self.is_leaving = False
        view.on_directory.append(self.update_targets)
        view.on_coordinators.append(self.drop_lost_roles)

    def has_roles(self) -> bool:
        """Whether this gateway schedules a service."""
        return bool(self.roles)

    def desk_of(self, service: ServiceName) -> Desk | None:
        """Return the desk of a service, None where it is not held here."""
        role = self.roles.get(service)
        return role.desk if role else None

    def take_role(self, service: ServiceName, epoch: int) -> None:
        """Start to coordinate a service."""
        spec = self.view.routes and self.view.routes.services.get(service)
        manager = None
        if spec and spec.is_keyed:
            manager = ShardManager(self.tuning.shards)
        settings = self.tuning.scheduling
        budget = settings.retry_budget.succeed(boot_time())
        settings = replace(settings, retry_budget=budget)
        desk = Desk(service, Scheduler(settings, manager))
        role = Role(epoch, desk)
        self.roles[service] = role
        desk.update(records_of(self.view.directory, service))
        mine = Coordinator(self.session.member, epoch)
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
            self.tasks.start_soon(self.run_role, role, runner)
        self.view.take_coordinator(service, mine)

    async def run_role(self, role: Role, runner: ShardRunner) -> None:
        """Manage the keys of a service until the role ends."""
        with role.scope:
            await keep_running('shards', partial(runner.run, role.desk))

    def drop_role(self, service: ServiceName, reason: str) -> None:
        """Stop to coordinate a service."""
        role = self.roles.pop(service, None)
        if role is None:
            return
        role.scope.cancel()
        log_event(
            Event.COORDINATOR,
            service=service,
            state='dropped',
            epoch=role.epoch,
            reason=reason,
        )
        role.desk.close()

    def drop_lost_roles(self) -> None:
        """Drop the roles that somebody else has, or nobody."""
        for service, role in tuple(self.roles.items()):
            known = self.view.coordinators.get(service)
            if known is None or known.epoch != role.epoch:
                self.drop_role(service, 'superseded')

    def drop_outdated_roles(self) -> None:
        """Drop roles after an outage that others need not wait out."""
        age = boot_time() - self.session.confirmed_at
        if self.roles and age > self.tuning.shards.outage_hold_s:
            for service in tuple(self.roles):
                self.drop_role(service, 'store-lost-too-long')

    def leave(self) -> None:
        """Drop every role, for good."""
        self.is_leaving = True
        for service in tuple(self.roles):
            self.drop_role(service, 'leaving')

    def update_targets(self) -> None:
        """Tell each desk the targets of its service."""
        for service, role in self.roles.items():
            role.desk.update(records_of(self.view.directory, service))

    async def run(self) -> None:
        """Let time pass at each desk, for ever."""
        while True:
            await anyio.sleep(TICK_S)
            self.drop_outdated_roles()
            for role in tuple(self.roles.values()):
                role.desk.tick()

    @singledispatchmethod
    def take(self, message: object, link: Link) -> None:
        """Take a message of another gateway; others are not for us."""

    @take.register
    def _(self, message: messages.Ask, link: Link) -> None:
        desk = self.desk_of(ServiceName(message.service))
        number = message.number
        if desk is None:
            refused = Refused(Refusal.NOT_COORDINATOR, Seconds(0))
            link.send(_permit(number, refused))
            return
        works = self.remote.get(link)
        if works is None:
            works = {}
            self.remote[link] = works
            link.on_closed.append(self.forget_link)
        work_id = desk.submit(
            decode_ask(message), partial(_reply, link, number)
        )
        works[number] = RemoteWork(desk, work_id)

    @take.register
    def _(self, message: messages.Done, link: Link) -> None:
        work = self.remote.get(link, {}).pop(message.number, None)
        if work is not None:
            outcome = OUTCOMES.get(message.outcome, Outcome.CANCELLED)
            work.desk.finish(work.work_id, outcome)

    @take.register
    def _(self, message: messages.Cancel, link: Link) -> None:
        work = self.remote.get(link, {}).pop(message.number, None)
        if work is not None:
            work.desk.withdraw(work.work_id)

    @take.register
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
        self.view.take_coordinator(service, Coordinator(member, message.epoch))
        role = self.roles.get(service)
        if role is None or role.epoch >= message.epoch:
            link.send(messages.Pong(message.number))

    async def stand_down(
        self, member: Member, service: ServiceName, epoch: int
    ) -> bool:
        """Tell an earlier coordinator that it has been replaced.

        Returns
        -------
        bool
            Whether it gives no more orders.
        """
        peer = Peer(member.name, member.address)
        message = messages.StandDown(0, service, epoch)
        answered = await self.pool.request(peer, message, STAND_DOWN_S)
        return answered.is_ok()

    def forget_link(self, link: Link) -> None:
        """Give back what a gateway held whose link is gone."""
        for work in self.remote.pop(link, {}).values():
            work.desk.withdraw(work.work_id)


def encode_ask(ask: Ask) -> messages.Ask:
    """Return the message that asks a coordinator for a slot."""
    return messages.Ask(
        number=0,
        service=ask.service,
        attempt_id=ask.attempt_id,
        route=ask.route,
        rank=ask.rank,
        key=NO_KEY if ask.key is None else ask.key,
        data_centre=ask.data_centre,
        due_ms=max(0, int(ask.due_in_s * MS_PER_SECOND)),
        expires_ms=max(0, int(ask.expires_in_s * MS_PER_SECOND)),
        returned=ask.is_returned,
        excluded=tuple(map(messages.TargetRef, ask.excluded)),
        fingerprint=ask.fingerprint,
        sends=ask.sends,
    )


def decode_ask(message: messages.Ask) -> Ask:
    """Return what another gateway asks for."""
    return Ask(
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
    )


def _reply(link: Link, number: int, verdict: Verdict) -> None:
    link.send(_permit(number, verdict))


def _permit(number: int, verdict: Verdict) -> messages.Permit:
    if isinstance(verdict, Granted):
        record = verdict.record
        return messages.Permit(
            number,
            record.target,
            record.life.started_at_ms,
            record.address,
            '',
            0,
        )
    retry_ms = int(verdict.retry_after_s * MS_PER_SECOND)
    return messages.Permit(number, '', 0, '', verdict.reason.value, retry_ms)
