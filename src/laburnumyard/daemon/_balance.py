"""Reports load to the planner of each service, and runs planners."""

import anyio

from laburnumyard.core import ownership
from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.core.rendezvous import rank
from laburnumyard.daemon._clock import boot_time
from laburnumyard.daemon._control_relay import ControlRelay
from laburnumyard.daemon._load_meter import LoadMeter
from laburnumyard.daemon._log import Event, log_event
from laburnumyard.daemon._ownership import OwnershipRunner
from laburnumyard.daemon._view import View
from laburnumyard.schema._generated.messages import LoadReport
from laburnumyard.wire import LinkPool

REPORT_INTERVAL_S = 2.0


class BalanceRunner:
    """Reports load and, where this daemon is the planner, proposes moves.

    The planner of a service is the first of the live daemons in rendezvous
    order. Two planners at once only propose twice: lease managers decide.

    Parameters
    ----------
    view
        The assignments and the members.
    meter
        What this daemon's targets were busy with.
    runner
        Knows the plan of each service.
    relay
        Carries proposals to lease managers.
    pool
        The links to the other daemons.
    """

    def __init__(
        self,
        view: View,
        meter: LoadMeter,
        runner: OwnershipRunner,
        relay: ControlRelay,
        pool: LinkPool,
    ) -> None:
        """Start without a planner."""
        self.view = view
        self.meter = meter
        self.runner = runner
        self.relay = relay
        self.pool = pool
        self.planners: dict[ServiceName, ownership.LoadPlanner] = {}

    async def run(self) -> None:
        """Report and propose until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.report()
            self.propose()

    def report(self) -> None:
        """Send what was metered to the planners."""
        for report in self.meter.take_reports():
            planner = self._planner_of(ServiceName(report.service))
            if planner == self.view.name:
                self.take_report(report)
                continue
            peer = self.view.peer(planner)
            if peer is not None:
                self.pool.send(peer, report)

    def take_report(self, report: LoadReport) -> None:
        """Take in what a dispatcher saw."""
        planner = self.planners.get(ServiceName(report.service))
        if planner is not None:
            planner.record(report)

    def propose(self) -> None:
        """Propose moves for each service that this daemon plans for."""
        if self.view.configuration is None or self.view.is_leaving:
            return
        for service in self.view.configuration.services:
            if self._planner_of(service) != self.view.name:
                self.planners.pop(service, None)
            elif service in self.view.snapshots:
                self._propose(service)

    def _propose(self, service: ServiceName) -> None:
        planner = self.planners.get(service)
        if planner is None:
            planner = ownership.LoadPlanner()
            self.planners[service] = planner
        snapshot = self.view.snapshots[service]
        plan = self.runner.plan(service)
        for proposal in planner.propose(snapshot, plan, boot_time()):
            is_carried = self.relay.carry(service, proposal)
            log_event(
                Event.PLACED,
                action='propose',
                service=service,
                proposal=proposal,
                carried=is_carried,
            )

    def _planner_of(self, service: ServiceName) -> DaemonName:
        names = [each.daemon for each in self.view.members.live()]
        ranked = rank(f'planner/{service}', names or [self.view.name])
        return DaemonName(ranked[0])
