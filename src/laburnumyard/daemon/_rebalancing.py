"""Reports load to each service's planner, and runs the planners."""

import math
from functools import partial
from itertools import count

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core import ownership
from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.core.rendezvous_hashing import rank
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._control_relay import ControlRelay
from laburnumyard.daemon._load_meter import LoadMeter
from laburnumyard.daemon._ownership import OwnershipRunner
from laburnumyard.schema._generated.messages import LoadReport
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import LinkPool

REPORT_INTERVAL_S = 2.0
# A service with more ranges is reported and planned only in every second
# interval, every third and so on, so its planner receives at most 10 KB/s.
RANGES_PER_INTERVAL = 512
# Pause between two steps of a planning round.
STEP_PAUSE_S = 0.05


class Rebalancer:
    """Reports load and, where this daemon is the planner, proposes changes.

    The planner of a service is the first of the live daemons in rendezvous
    order. Two concurrent planners only cause duplicate proposals, since the
    lease managers decide.

    Parameters
    ----------
    view
        Provides the assignments and the members.
    meter
        The measured load on this daemon's targets.
    ownership_runner
        Provides the plan of each service.
    relay
        Forwards proposals to lease managers.
    pool
        The links to the other daemons.
    """

    def __init__(
        self,
        view: ClusterView,
        meter: LoadMeter,
        ownership_runner: OwnershipRunner,
        relay: ControlRelay,
        pool: LinkPool,
    ) -> None:
        """Initialise with no planner."""
        self.view = view
        self.meter = meter
        self.ownership_runner = ownership_runner
        self.relay = relay
        self.pool = pool
        self.planners: dict[ServiceName, ownership.LoadPlanner] = {}
        self.active_rounds: set[ServiceName] = set()

    async def run(self) -> None:
        """Report load and run planning rounds until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in count(1):
                await anyio.sleep(REPORT_INTERVAL_S)
                self.report(number)
                for service in self.services_to_plan(number):
                    planning = self.begin_round(service)
                    tasks.start_soon(self.run_round, service, planning)

    def report(self, number: int) -> None:
        """Send load reports to the planners.

        Parameters
        ----------
        number
            Number of the interval that has ended, from 1.
        """
        for report in self.meter.pop_reports(partial(self._is_due, number)):
            planner = self._planner_of(ServiceName(report.service))
            if planner == self.view.name:
                self.record_report(report)
                continue
            peer = self.view.peer(planner)
            if peer is not None:
                self.pool.send(peer, report)

    def record_report(self, report: LoadReport) -> None:
        """Pass a load report to the planner, if it runs here."""
        planner = self.planners.get(ServiceName(report.service))
        if planner is not None:
            planner.record(report)

    def _is_due(self, number: int, service: ServiceName) -> bool:
        snapshot = self.view.snapshots.get(service)
        ranges = len(snapshot.assignment.ranges) if snapshot else 0
        intervals = max(1, math.ceil(ranges / RANGES_PER_INTERVAL))
        return number % intervals == 0

    def services_to_plan(self, number: int) -> list[ServiceName]:
        """Return the services to start a planning round for."""
        if self.view.configuration is None or self.view.is_leaving:
            return []
        planned = []
        for service in self.view.configuration.services:
            if self._planner_of(service) != self.view.name:
                self.planners.pop(service, None)
            elif service in self.view.snapshots:
                self.planners.setdefault(service, ownership.LoadPlanner())
                planned.append(service)
        return [
            service
            for service in planned
            if self._is_due(number, service)
            and service not in self.active_rounds
        ]

    def begin_round(self, service: ServiceName) -> ownership.PlanningRound:
        """Start a planning round of a service."""
        return ownership.PlanningRound(
            self.planners[service],
            self.view.snapshots[service],
            self.ownership_runner.plan(service),
            boot_time(),
        )

    async def run_round(
        self,
        service: ServiceName,
        planning: ownership.PlanningRound,
    ) -> None:
        """Run a round to its end, or until another daemon is the planner."""
        self.active_rounds.add(service)
        while not planning.is_done and self._is_still_planner(
            service, planning
        ):
            for proposal in planning.advance(boot_time()):
                self._propose(service, proposal)
            await anyio.sleep(STEP_PAUSE_S)
        self.active_rounds.discard(service)

    def _is_still_planner(
        self,
        service: ServiceName,
        planning: ownership.PlanningRound,
    ) -> bool:
        is_planner = self.planners.get(service) is planning.planner
        return is_planner and not self.view.is_leaving

    def _propose(
        self,
        service: ServiceName,
        proposal: ownership.MoveRequested | ownership.MergeRequested,
    ) -> None:
        is_forwarded = self.relay.forward_proposal(service, proposal)
        log_event(
            Event.PLACED,
            action='propose',
            service=service,
            proposal=proposal,
            carried=is_forwarded,
        )

    def _planner_of(self, service: ServiceName) -> DaemonName:
        names = [each.daemon for each in self.view.members.live()]
        ranked = rank(f'planner/{service}', names or [self.view.name])
        return DaemonName(ranked[0])
