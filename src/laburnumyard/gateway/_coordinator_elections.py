"""Coordinator election by compare-and-swap on role keys in the store."""

import random

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.core.reachability import TargetReach
from laburnumyard.gateway._cluster_view import ClusterView, Coordinator
from laburnumyard.gateway._connection_probe import refuses_connections
from laburnumyard.gateway._coordinator_roles import Coordination
from laburnumyard.gateway._platform_interface import (
    ConditionalWrite,
    MetadataStore,
    StoreFault,
)
from laburnumyard.gateway._record_encoding import coordinator_key, encode_member
from laburnumyard.gateway._store_session import Session
from laburnumyard.gateway._task_supervision import SupervisedTasks
from laburnumyard.telemetry import Event, log_event

# Interval between checks for vacant roles.
POLL_INTERVAL_S = 0.05
# The same without a vacant role, unless the view changes first.
IDLE_INTERVAL_S = 1.0
# Upper bound of the random delay before claiming a role, so that mostly one
# write settles the election.
ELECTION_JITTER_S = 0.05
# Extra delay per held role and for a VM with fewer cores, so that other
# gateways can claim the role first. Followers hear of a claim up to 0.15 s
# after it, and each one that claims as well costs calls of the store.
HANDICAP_DELAY_S = 0.25
# Extra delay for a gateway that reaches no target: it can give no orders, and
# claims a role only if no other gateway does.
TARGETS_LOST_DELAY_S = 1.0
# Connection probes of a lost coordinator; a process is restarted within about
# a second.
MAX_PROBES = 8
# Pause after the store opened no session; up to twice as long at random, since
# all gateways try during an outage.
SESSION_RETRY_PAUSE_S = 0.5
MILLI_CORES = 1000
PROBE_INTERVAL_S = 0.1
# Time that a coordinator has to claim its role again after the store lost its
# record; it alone knows what it has assigned since.
RECLAIM_WAIT_S = 1.0


class Elections:
    """Claims coordinator roles that no gateway holds.

    Parameters
    ----------
    store
        Store in which roles are claimed.
    view
        Known coordinators and members.
    session
        Store session that the role keys are attached to.
    coordination
        Runs the claimed roles.
    tasks
        Background tasks; run the probes.

    Attributes
    ----------
    reach
        Whether this gateway reaches targets.
    """

    def __init__(
        self,
        store: MetadataStore,
        view: ClusterView,
        session: Session,
        coordination: Coordination,
        tasks: SupervisedTasks,
    ) -> None:
        """Create the object without knowledge of ended coordinators."""
        self.store = store
        self.view = view
        self.session = session
        self.coordination = coordination
        self.tasks = tasks
        # Epoch of each coordinator whose process is known to have ended.
        self.ended_epochs: dict[ServiceName, int] = {}
        self.reach = TargetReach()

    async def run(self) -> None:
        """Claim vacant roles until this gateway leaves."""
        while not self.coordination.is_leaving:
            changed = self.view.changed
            vacant = self.vacant_services()
            if vacant:
                await self.elect(min(vacant, key=self.is_not_held))
                continue
            with anyio.move_on_after(IDLE_INTERVAL_S):
                await changed.wait()

    async def elect(self, service: ServiceName) -> None:
        """Claim a vacant role after a delay.

        A gateway that loses its targets meanwhile starts again with the longer
        delay, or gives the role back.
        """
        was_lost = self.reach.is_lost
        if self.is_not_held(service):
            await anyio.sleep(self.election_delay())
        if was_lost or not self.reach.is_lost:
            await self.claim_role(service)
        if not was_lost and self.reach.is_lost:
            await self.yield_roles()

    async def yield_roles(self) -> None:
        """Leave the roles to gateways that reach targets."""
        if self.coordination.roles and self.session.health.is_reachable:
            self.coordination.leave('targets-lost', is_final=False)
            await self.session.end()

    def vacant_services(self) -> list[ServiceName]:
        """Return the services without a coordinator, in random order."""
        table = self.view.routes
        if table is None or not self.view.has_coordinators:
            return []
        vacant = [name for name in table.services if self.is_vacant(name)]
        random.shuffle(vacant)
        return vacant

    def is_vacant(self, service: ServiceName) -> bool:
        """Whether a service has no coordinator, or one that has ended."""
        coordinator = self.view.coordinators.get(service)
        if coordinator is None:
            return not self.awaits_reclaim(service)
        if self.ended_epochs.get(service) == coordinator.epoch:
            return True
        own_member = self.session.member
        if coordinator.member.name != own_member.name:
            return False
        # A record of this process without a role is from an older copy of the
        # store, or of a claim whose answer was lost.
        return (
            coordinator.member.incarnation < own_member.incarnation
            or self.is_not_held(service)
        )

    def is_not_held(self, service: ServiceName) -> bool:
        """Whether this gateway does not coordinate a service."""
        return self.coordination.dispatcher_of(service) is None

    def awaits_reclaim(self, service: ServiceName) -> bool:
        """Whether the coordinator whose record was lost may claim it again."""
        unconfirmed = self.view.unconfirmed.get(service)
        if unconfirmed is None:
            return False
        age = boot_time() - unconfirmed.lost_at
        return self.is_not_held(service) and age < RECLAIM_WAIT_S

    def suspect(self, name: DaemonName) -> None:
        """Probe a gateway whose link was lost."""
        for service, coordinator in self.view.coordinators.items():
            if (
                coordinator.member.name == name
                and not self.coordination.is_leaving
            ):
                self.tasks.start_soon('probe', self.probe, service, coordinator)

    async def probe(
        self, service: ServiceName, coordinator: Coordinator
    ) -> None:
        """Treat a coordinator as ended if its address refuses connections."""
        for _ in range(MAX_PROBES):
            if self.view.coordinators.get(service) != coordinator:
                return
            if await refuses_connections(coordinator.member.address):
                self.ended_epochs[service] = coordinator.epoch
                log_event(
                    Event.COORDINATOR,
                    'WARNING',
                    service=service,
                    state='gone',
                    member=coordinator.member.name,
                    epoch=coordinator.epoch,
                )
                self.view.notify([])
                return
            await anyio.sleep(PROBE_INTERVAL_S)

    def election_delay(self) -> float:
        """Return the delay before claiming a role, in seconds."""
        own_member = self.session.member
        most_known = self.view.max_milli_cores / MILLI_CORES
        max_cores = max(own_member.cores, most_known)
        handicap = len(self.coordination.roles) + 2 * max(
            0, 1 - own_member.cores / max_cores
        )
        delay = handicap * HANDICAP_DELAY_S
        if self.reach.is_lost:
            delay += TARGETS_LOST_DELAY_S
        return random.random() * ELECTION_JITTER_S + delay

    async def claim_role(self, service: ServiceName) -> None:
        """Claim a role, unless another gateway was faster."""
        if self.coordination.is_leaving or not self.is_vacant(service):
            return
        if not await self.session.acquire():
            await anyio.sleep(SESSION_RETRY_PAUSE_S * (1 + random.random()))
            return
        if not self.is_vacant(service):
            # Another gateway claimed the role while the session was opened. A
            # write on condition of its epoch would take the role from it.
            return
        key = coordinator_key(service)
        coordinator = self.view.coordinators.get(service)
        write = ConditionalWrite(
            {key: coordinator.epoch if coordinator else 0},
            {key: encode_member(self.session.member)},
            self.session.session_id,
        )
        claimed = await self.store.compare_and_swap(write)
        if claimed.is_ok() and not self.coordination.is_leaving:
            self.coordination.assume_role(service, claimed.ok)
            return
        if (
            claimed.is_error()
            and claimed.error.fault is not StoreFault.CONFLICT
        ):
            if claimed.error.fault is StoreFault.SESSION_ENDED:
                self.session.note_ended(write.session)
            log_event(
                Event.COORDINATOR,
                'WARNING',
                service=service,
                state='not-taken',
                fault=claimed.error.fault,
            )
        with anyio.move_on_after(4 * POLL_INTERVAL_S):
            await self.view.changed.wait()
