"""Which targets are leaving, by their own reports and by the VM list."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import Seconds, TargetName

# A target counts as staying again after its reporter has said so, and nothing
# else, for this long: one that flaps must not move ranges to and fro.
RETURN_AFTER: Seconds = 5.0
# A target's own report is forgotten after this long without another one: its
# lease manager is elsewhere by then, or its process has ended.
FORGET_AFTER: Seconds = 10.0


class Reporter(Enum):
    """Who says whether a target is leaving."""

    TARGET = 'target'
    VM_LIST = 'vm-list'


@dataclass(frozen=True, slots=True)
class Report:
    """What a reporter says of a target.

    Parameters
    ----------
    target
        The target.
    reporter
        Who says it.
    is_leaving
        Whether the target is leaving.
    """

    target: TargetName
    reporter: Reporter
    is_leaving: bool


@dataclass(slots=True)
class _Leaving:
    heard_at: Seconds
    denied_since: Seconds | None = None


class LeavingReports:
    """Merges what reporters say; a target leaves while any one says so.

    Deterministic: the time is passed in. Reports are repeated by those who
    make them, so nothing of this is kept in the store.
    """

    def __init__(self) -> None:
        """Start with every target staying."""
        self.reports: dict[TargetName, dict[Reporter, _Leaving]] = {}

    @property
    def leaving(self) -> tuple[TargetName, ...]:
        """The targets that are leaving."""
        return tuple(self.reports)

    def take(self, report: Report, now: Seconds) -> Report | None:
        """Take a report.

        Parameters
        ----------
        report
            What was said; nothing in it is trusted but the target's name.
        now
            The time, in seconds.

        Returns
        -------
        Report or None
            The report if the target is leaving, or staying, because of it and
            was not before.
        """
        if report.is_leaving:
            return self._note(report, now)
        return self._deny(report, now)

    def forget(
        self,
        known: Collection[TargetName],
        now: Seconds,
    ) -> tuple[Report, ...]:
        """Drop reports that have aged, and those of unknown targets.

        Parameters
        ----------
        known
            The targets of the configuration.
        now
            The time, in seconds.

        Returns
        -------
        tuple of Report
            The targets that count as staying from now on.
        """
        aged = tuple(self._aged(known, now))
        dropped = (self._drop(target, reporter) for target, reporter in aged)
        return tuple(report for report in dropped if report)

    def _note(self, report: Report, now: Seconds) -> Report | None:
        is_news = report.target not in self.reports
        reports = self.reports.setdefault(report.target, {})
        reports[report.reporter] = _Leaving(now)
        return report if is_news else None

    def _deny(self, report: Report, now: Seconds) -> Report | None:
        found = self.reports.get(report.target, {}).get(report.reporter)
        if found is None:
            return None
        found.heard_at = now
        if found.denied_since is None:
            found.denied_since = now
        if now < found.denied_since + RETURN_AFTER:
            return None
        return self._drop(report.target, report.reporter)

    def _aged(
        self,
        known: Collection[TargetName],
        now: Seconds,
    ) -> Iterator[tuple[TargetName, Reporter]]:
        for target, reports in self.reports.items():
            for reporter, found in reports.items():
                is_own = reporter is Reporter.TARGET
                is_silent = is_own and now >= found.heard_at + FORGET_AFTER
                if is_silent or target not in known:
                    yield target, reporter

    def _drop(self, target: TargetName, reporter: Reporter) -> Report | None:
        reports = self.reports[target]
        reports.pop(reporter)
        if reports:
            return None
        self.reports.pop(target)
        return Report(target, reporter, is_leaving=False)
