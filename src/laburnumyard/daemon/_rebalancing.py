"""Reports load to the planner of each service, and runs planners."""

import math
from functools import partial
from itertools import count

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core import ownership
from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.core.rendezvous import rank
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._control_relay import ControlRelay
from laburnumyard.daemon._load_meter import LoadMeter
from laburnumyard.daemon._ownership import OwnershipRunner
from laburnumyard.schema._generated.messages import LoadReport
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import LinkPool

REPORT_INTERVAL_S = 2.0
# A service with more ranges is reported and planned in every second interval,
# every third and so on, so that its planner takes in at most 10 KB/s.
RANGES_PER_INTERVAL = 512
# Between two steps of a planner's round.
STEP_PAUSE_S = 0.05


class Rebalancer:
    """Reports load and, where this daemon is the planner, proposes moves.

    The planner of a service is the first of the live daemons in rendezvous
    order. Two planners at once only propose twice: lease managers decide.

    Parameters
    ----------
    view
        The assignments and the members.
    meter
        What this daemon's targets were busy with.
    ownership_runner
        Knows the plan of each service.
    relay
        Carries proposals to lease managers.
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
        """Start without a planner."""
        self.view = view
        self.meter = meter
        self.ownership_runner = ownership_runner
        self.relay = relay
        self.pool = pool
        self.planners: dict[ServiceName, ownership.LoadPlanner] = {}
        self.active_rounds: set[ServiceName] = set()

    async def run(self) -> None:
        """Report and propose until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in count(1):
                await anyio.sleep(REPORT_INTERVAL_S)
                self.report(number)
                for service in self.services_to_plan(number):
                    planning = self.begin_round(service)
                    tasks.start_soon(self.run_round, service, planning)

    def report(self, number: int) -> None:
        """Send what was metered to the planners.

        Parameters
        ----------
        number
            The number of the interval that has ended.
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
        """Take in what a dispatcher saw."""
        planner = self.planners.get(ServiceName(report.service))
        if planner is not None:
            planner.record(report)

    def _is_due(self, number: int, service: ServiceName) -> bool:
        snapshot = self.view.snapshots.get(service)
        ranges = len(snapshot.assignment.ranges) if snapshot else 0
        intervals = max(1, math.ceil(ranges / RANGES_PER_INTERVAL))
        return number % intervals == 0

    def services_to_plan(self, number: int) -> list[ServiceName]:
        """Return the services whose round is to begin at this daemon."""
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
        """Begin a round of the planner of a service."""
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
        """Go through a round while this daemon is the planner."""
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
