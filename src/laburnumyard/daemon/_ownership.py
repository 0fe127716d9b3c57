"""Runs this daemon's lease managers, one for each scope."""

from collections.abc import Callable, Iterator

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clients import StoreClient
from laburnumyard.core import membership, ownership
from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Seconds,
    ServiceName,
    TargetName,
)
from laburnumyard.daemon._assignment_store import AssignmentStore
from laburnumyard.daemon._chunk_garbage_collector import ChunkGarbageCollector
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._guard_candidates import guard_candidates
from laburnumyard.daemon._guards import DEADLINE_TRANSFER_MARGIN_S, Guards
from laburnumyard.daemon._lease_orders import LeaseOrderSender
from laburnumyard.daemon._leaving_targets import LeavingTargetTracker
from laburnumyard.daemon._scope_id import ScopeId
from laburnumyard.daemon._scope_runner import ScopeDependencies, ScopeRunner
from laburnumyard.schema._generated.messages import HandOver
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import LinkPool

TAKE_OVER_INTERVAL_S = 1.0
# Poll interval for whether targets that receive no grants are leaving.
LEAVING_POLL_INTERVAL_S = 0.5


class OwnershipRunner:
    """Runs a lease manager for each scope that this daemon may manage.

    Parameters
    ----------
    view
        Provides the configuration, the heads and the members.
    store
        The platform's store.
    guards
        The grants that this daemon guards.
    pool
        The links to other daemons.
    tasks
        Task group for calls.
    publish
        Distributes an acknowledged assignment.
    """

    def __init__(
        self,
        view: ClusterView,
        store: StoreClient,
        guards: Guards,
        pool: LinkPool,
        tasks: TaskGroup,
        publish: Callable[[ServiceName, ownership.Snapshot], None],
    ) -> None:
        """Initialise with no scope."""
        self.view = view
        self.store = store
        self.guards = guards
        self.pool = pool
        self.tasks = tasks
        self.publish = publish
        self.runners: dict[ScopeId, ScopeRunner] = {}
        self.stores: dict[ServiceName, AssignmentStore] = {}
        self.drained: dict[TargetName, None] = {}
        self.leaving_targets = LeavingTargetTracker(view, self._feed_all)
        self.collector = ChunkGarbageCollector(view, self.stores)
        self.has_waited_for_members = False

    def reconfigure(self) -> None:
        """Apply a new configuration: start new scopes and update plans."""
        services = self.view.configuration.services
        plans = {ServiceName(name): self.plan(name) for name in services}
        for service, plan in plans.items():
            for scope in _scopes(service, plan):
                self._apply_plan(scope, plan)
        self.take_over_scopes()

    def apply_snapshot(
        self,
        service: ServiceName,
        snapshot: ownership.Snapshot,
    ) -> None:
        """Pass a service's newest head to its managers."""
        news = ownership.HeadRead(snapshot, asked_at=None)
        self.feed_service(service, news)
        self.take_over_scopes()

    async def run(self) -> None:
        """Check scopes periodically, in case an event was missed."""
        await anyio.sleep(self.view.settings.timing.suspect_after_s)
        self.has_waited_for_members = True
        self.tasks.start_soon(self._poll_guarded)
        self.tasks.start_soon(self.collector.run)
        while True:
            if self.view.configuration is not None:
                self.take_over_scopes()
                self.leaving_targets.expire_reports()
            await anyio.sleep(TAKE_OVER_INTERVAL_S)

    def take_over_scopes(self) -> None:
        """Take over unmanaged scopes that this daemon should manage.

        A daemon that has just started knows no members yet and would take over
        every scope, so it waits first.
        """
        state = self.view.members.state
        lacks_members = state.is_stale or not self.has_waited_for_members
        if lacks_members or self.view.is_leaving:
            return
        for scope, runner in self.runners.items():
            runner.report_gone_targets(self.leaving_targets.gone)
            for candidates in guard_candidates(self.view, scope):
                runner.feed(candidates)
            if runner.manager.may_take_over and self._should_take_over(scope):
                runner.feed(ownership.TakeOver())

    def managed_scopes(self) -> tuple[membership.Scope, ...]:
        """Return the scopes that this daemon manages."""
        return tuple(
            membership.Scope(scope.service, scope.data_centre)
            for scope, runner in self.runners.items()
            if not runner.manager.is_idle
        )

    def take_over(self, message: HandOver) -> None:
        """Take over a scope from a daemon that is leaving."""
        scope = ScopeId(
            ServiceName(message.service), DataCentre(message.data_centre)
        )
        runner = self.runners.get(scope)
        if runner is not None and not self.view.is_leaving:
            runner.feed(ownership.TakeOver())

    def feed_service(
        self,
        service: ServiceName,
        event: ownership.Event,
    ) -> None:
        """Pass an event to every manager of a service."""
        for runner in self._of_service(service):
            runner.feed(event)

    def drain(self, target: TargetName, draining: bool) -> None:
        """Drain a target, or undo that, for the life of this daemon."""
        self.drained.pop(target, None)
        if draining:
            self.drained[target] = None
        action = 'empty' if draining else 'use-again'
        log_event(Event.PLACED, action=action, target=target, reason='operator')
        self._feed_all(ownership.TargetDraining(target, draining))

    def leave(self) -> None:
        """Hand over every scope."""
        self._feed_all(ownership.Leave())

    @property
    def is_handed_over(self) -> bool:
        """Whether this daemon manages nothing that another could manage."""
        return all(
            runner.manager.is_idle or self._successor(scope) is None
            for scope, runner in self.runners.items()
        )

    def _feed_all(self, event: ownership.Event) -> None:
        for runner in self.runners.values():
            runner.feed(event)

    async def _poll_guarded(self) -> None:
        while True:
            for runner in self.runners.values():
                runner.poll_guarded()
            await anyio.sleep(LEAVING_POLL_INTERVAL_S)

    def plan(self, service: ServiceName) -> ownership.ServicePlan:
        """Return what the configuration says about a service."""
        limits = self.view.settings.limits
        longest = Seconds(
            limits.guarded_deadline_max_s + DEADLINE_TRANSFER_MARGIN_S
        )
        objects = self.view.configuration.objects
        return ownership.service_plan(objects, service, longest)

    def _apply_plan(
        self,
        scope: ScopeId,
        plan: ownership.ServicePlan,
    ) -> None:
        # A scope is never managed from the targets' own data centre: the loss
        # of one data centre must not take both targets and manager.
        if scope.data_centre == self.view.settings.daemon.data_centre:
            return
        runner = self.runners.get(scope)
        if runner is not None:
            runner.feed(ownership.PlanChanged(plan))
            return
        runner = self._start(scope, plan)
        self.runners[scope] = runner
        for target in self.drained:
            runner.feed(ownership.TargetDraining(target))
        for target in self.leaving_targets.reports.leaving:
            runner.feed(ownership.TargetLeaving(target))
        snapshot = self.view.snapshots.get(scope.service)
        if snapshot is not None:
            runner.feed(ownership.HeadRead(snapshot, asked_at=None))

    def _start(
        self,
        scope: ScopeId,
        plan: ownership.ServicePlan,
    ) -> ScopeRunner:
        settings = ownership.ManagerSettings(
            self.view.name,
            self.view.incarnation,
            scope.data_centre,
            self.view.settings.timing,
        )
        service = scope.service
        if service not in self.stores:
            self.stores[service] = AssignmentStore(self.store, service)
        dependencies = ScopeDependencies(
            store=self.stores[service],
            orders=LeaseOrderSender(
                service,
                self.view,
                self.guards,
                self.pool,
                self.leaving_targets.record_answer,
            ),
            publish=lambda snapshot: self.publish(service, snapshot),
            offer_handover=self._offer_handover,
            tasks=self.tasks,
        )
        manager = ownership.LeaseManager(settings, plan)
        return ScopeRunner(scope, manager, dependencies)

    def _should_take_over(self, scope: ScopeId) -> bool:
        """Return whether this daemon should take over a scope now."""
        members = self.view.members
        wanted = membership.Scope(scope.service, scope.data_centre)
        if members.manager_of(wanted) != self.view.name:
            return False
        snapshot = self.view.snapshots.get(scope.service)
        held = snapshot and snapshot.head.scopes.get(scope.data_centre)
        live = {each.daemon: each.incarnation for each in members.live()}
        return ownership.needs_manager(held or None, live)

    def _offer_handover(self, scope: ScopeId) -> None:
        successor = self._successor(scope)
        peer = self.view.peer(successor) if successor else None
        if peer is not None:
            self.pool.send(peer, HandOver(scope.service, scope.data_centre))

    def _successor(self, scope: ScopeId) -> DaemonName | None:
        wanted = membership.Scope(scope.service, scope.data_centre)
        successor = self.view.members.manager_of(wanted)
        return None if successor == self.view.name else successor

    def _of_service(self, service: ServiceName) -> Iterator[ScopeRunner]:
        for scope, runner in self.runners.items():
            if scope.service == service:
                yield runner


def _scopes(
    service: ServiceName,
    plan: ownership.ServicePlan,
) -> tuple[ScopeId, ...]:
    centres = {kind.data_centre for kind in plan.targets.values()}
    return tuple(ScopeId(service, centre) for centre in sorted(centres))
