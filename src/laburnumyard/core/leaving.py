"""Leaving targets, from their own reports and from the VM list."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import Seconds, TargetName

# A target is staying again once its reporter has said so without interruption
# for this many seconds, so that a flapping target does not move ranges back and
# forth.
STAYING_CONFIRMATION_S: Seconds = 5.0
# A target's own report expires after this many seconds without another one: by
# then its lease manager has moved, or its process has ended.
REPORT_EXPIRY_S: Seconds = 10.0


class Reporter(Enum):
    """Source of a report."""

    TARGET = 'target'
    VM_LIST = 'vm-list'


@dataclass(frozen=True, slots=True)
class Report:
    """A reporter's statement about a target.

    Parameters
    ----------
    target
        The target.
    reporter
        The source of the report.
    is_leaving
        Whether the target is leaving.
    """

    target: TargetName
    reporter: Reporter
    is_leaving: bool


@dataclass(slots=True)
class _LeavingReport:
    heard_at: Seconds
    staying_since: Seconds | None = None


class LeavingTargets:
    """Merges reports; a target is leaving while any reporter says so.

    The time is passed in, so the result is deterministic. Reporters repeat
    their reports, so no state is kept in the store.
    """

    def __init__(self) -> None:
        """Start with no leaving targets."""
        self.reports: dict[TargetName, dict[Reporter, _LeavingReport]] = {}

    @property
    def leaving(self) -> tuple[TargetName, ...]:
        """The targets that are leaving."""
        return tuple(self.reports)

    def take(self, report: Report, now: Seconds) -> Report | None:
        """Apply a report.

        Parameters
        ----------
        report
            The report; only the target's name in it is trusted.
        now
            The time, in seconds.

        Returns
        -------
        Report or None
            The report if it changed whether the target is leaving, else None.
        """
        if report.is_leaving:
            return self._record_leaving(report, now)
        return self._record_staying(report, now)

    def forget(
        self,
        known: Collection[TargetName],
        now: Seconds,
    ) -> tuple[Report, ...]:
        """Remove expired reports and those of unknown targets.

        Parameters
        ----------
        known
            The targets of the configuration.
        now
            The time, in seconds.

        Returns
        -------
        tuple of Report
            One report for each target that is no longer leaving.
        """
        expired = tuple(self._expired_reports(known, now))
        dropped = (self._drop(target, reporter) for target, reporter in expired)
        return tuple(report for report in dropped if report)

    def _record_leaving(self, report: Report, now: Seconds) -> Report | None:
        is_new = report.target not in self.reports
        reports = self.reports.setdefault(report.target, {})
        reports[report.reporter] = _LeavingReport(now)
        return report if is_new else None

    def _record_staying(self, report: Report, now: Seconds) -> Report | None:
        found = self.reports.get(report.target, {}).get(report.reporter)
        if found is None:
            return None
        found.heard_at = now
        if found.staying_since is None:
            found.staying_since = now
        if now < found.staying_since + STAYING_CONFIRMATION_S:
            return None
        return self._drop(report.target, report.reporter)

    def _expired_reports(
        self,
        known: Collection[TargetName],
        now: Seconds,
    ) -> Iterator[tuple[TargetName, Reporter]]:
        for target, reports in self.reports.items():
            for reporter, found in reports.items():
                is_own = reporter is Reporter.TARGET
                is_silent = is_own and now >= found.heard_at + REPORT_EXPIRY_S
                if is_silent or target not in known:
                    yield target, reporter

    def _drop(self, target: TargetName, reporter: Reporter) -> Report | None:
        reports = self.reports[target]
        reports.pop(reporter)
        if reports:
            return None
        self.reports.pop(target)
        return Report(target, reporter, is_leaving=False)
