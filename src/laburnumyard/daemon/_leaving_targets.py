"""Tracks targets that are leaving or gone, for the lease managers."""

from collections.abc import Callable, Iterable

from laburnumyard.clients import Vm, VmState
from laburnumyard.clocks import boot_time
from laburnumyard.core import leaving, ownership
from laburnumyard.core.ids import TargetName
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.telemetry._log import Event, log_event


class LeavingTargetTracker:
    """Combines leaving reports of targets with the platform's VM list.

    Parameters
    ----------
    view
        Provides the configured targets.
    on_change
        Called when a target starts leaving, or is no longer leaving.
    """

    def __init__(
        self,
        view: ClusterView,
        on_change: Callable[[ownership.TargetLeaving], None],
    ) -> None:
        """Initialise with no leaving target."""
        self.view = view
        self.on_change = on_change
        self.reports = leaving.LeavingTargets()
        self.listed: frozenset[TargetName] = frozenset()
        self.gone: frozenset[TargetName] = frozenset()

    def record_answer(
        self, target: TargetName, is_leaving: bool | None
    ) -> None:
        """Record a target's own report; None if it reported nothing."""
        if is_leaving is not None:
            reporter = leaving.Reporter.TARGET
            self._record(leaving.Report(target, reporter, is_leaving))

    def record_vms(self, vms: Iterable[Vm]) -> None:
        """Record the VM list; the VM of a target has the target's name."""
        # A VM with a peer address runs a daemon, not a target.
        listed = {
            TargetName(vm.name): vm.state is VmState.LEAVING
            for vm in vms
            if not vm.peer_address and vm.name in self._known_targets()
        }
        for target, is_leaving in listed.items():
            reporter = leaving.Reporter.VM_LIST
            self._record(leaving.Report(target, reporter, is_leaving))
        vanished = self.gone | self.listed
        self.gone = vanished.intersection(self._known_targets()) - listed.keys()
        self.listed = frozenset(listed)

    def expire_reports(self) -> None:
        """Drop expired reports; the targets count as staying again."""
        for report in self.reports.forget(self._known_targets(), boot_time()):
            self._announce(report)

    def _known_targets(self) -> Iterable[TargetName]:
        configuration = self.view.configuration
        return configuration.targets.keys() if configuration else ()

    def _record(self, report: leaving.Report) -> None:
        decision = self.reports.take(report, boot_time())
        if decision is not None:
            self._announce(decision)

    def _announce(self, report: leaving.Report) -> None:
        log_event(
            Event.PLACED,
            action='empty' if report.is_leaving else 'use-again',
            target=report.target,
            reason=report.reporter.value,
        )
        self.on_change(
            ownership.TargetLeaving(report.target, report.is_leaving)
        )
