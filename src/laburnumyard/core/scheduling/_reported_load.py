"""How far the load reports of targets predict the run times there.

A report counts relative to the mean of the reports of its target, and as far as
the run times of earlier requests followed the reports that were known when the
requests were sent. Reports that never change, that change at random or that are
missing therefore leave a target to be judged by its runs.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.load_reports import LoadReport

# The weight of a report falls to 0 within this time, in seconds: machines that
# others use too change about as often.
REPORT_LIFE_S = 0.4
# Weight of a new report in the mean of a target's reports.
MEAN_GAIN = 0.05
# Samples that count in the trust in all reports of a service, and in those of
# one target.
SERVICE_SAMPLES = 1000
TARGET_SAMPLES = 200
# What is known from the whole service counts as much as samples of a target
# with this sum of squares, about 30 runs where a fifth are three times as long.
SERVICE_WEIGHT = 2.0
# Variance of the logarithm of run times that no report explains.
RUN_VARIANCE = 0.5
# The reports of a service count if run times follow them by more than this
# many standard errors.
MIN_STANDARD_ERRORS = 2.0
# Reported loads are kept in these bounds, as logarithms.
MAX_LOG_LOAD = 2.3
MIN_LOG_LOAD = -1.6
# Reports of a target with less trust are not used.
MIN_TRUST = 0.05
# Interval in which the trust in a target is updated, in seconds.
TRUST_INTERVAL_S = 0.25


@dataclass(slots=True)
class Regression:
    """Sums of how run times followed reports; old samples fade.

    Parameters
    ----------
    samples
        Number of samples that count.
    """

    samples: int
    squares: float = 0
    products: float = 0

    def add(self, reported: float, measured: float) -> None:
        """Add a sample; both are logarithms."""
        kept = 1 - 1 / self.samples
        self.squares = kept * self.squares + reported * reported
        self.products = kept * self.products + reported * measured


@dataclass(slots=True)
class TargetReports:
    """Reports of one target.

    Attributes
    ----------
    load
        Logarithm of the last reported load, relative to an idle target.
    usual
        Mean of these.
    at
        Time of the last report, in seconds.
    until
        Time at which it no longer counts.
    claimed
        Run time relative to that at the usual load, less 1, by the last report.
    trust
        How far its reports are trusted, from 0 to 1.
    excess
        Run time relative to that at the usual load, less 1, as far as the
        last report is trusted; it counts less as the report ages.
    others
        Requests of other senders, by the last report.
    slowdown
        The last reported slowdown, 0 if none.
    """

    regression: Regression = field(
        default_factory=lambda: Regression(TARGET_SAMPLES)
    )
    load: float = 0
    usual: float | None = None
    at: float = -math.inf
    until: float = -math.inf
    claimed: float = 0
    trust: float = 0
    trusted_at: float = -math.inf
    excess: float = 0
    others: int = 0
    slowdown: float = 0

    def weight(self, now: float) -> float:
        """Return the weight of the last report, from 0 to 1."""
        return max(0, min(1, (self.until - now) / REPORT_LIFE_S))


class ReportedLoads:
    """Load reports of the targets of a service, and the trust in them."""

    def __init__(self) -> None:
        """Start without reports and without trust."""
        self.targets: dict[TargetId, TargetReports] = {}
        self.regression = Regression(SERVICE_SAMPLES)
        # Mean logarithm of measured over expected run times.
        self.offset: float = 0

    def stretch(self, target: TargetId | None, now: float) -> float:
        """Return the run time relative to that at the usual load."""
        reports = self.targets.get(target) if target else None
        if reports is None:
            return 1
        return 1 + reports.weight(now) * reports.excess

    def prediction(self, target: TargetId, now: float) -> float:
        """Return what reports say about a run, were they fully trusted.

        Returns
        -------
        float
            Logarithm of the run time relative to that at the usual load.
        """
        reports = self.targets.get(target)
        if reports is None:
            return 0
        if now >= reports.until or not reports.claimed:
            return 0
        return math.log(1 + reports.weight(now) * reports.claimed)

    def trust(self, target: TargetId) -> float:
        """Return how far a target's reports are trusted, from 0 to 1."""
        whole = self.regression
        trust: float = 0
        if whole.products > 0:
            # Squared distance from 0, in standard errors.
            distance = whole.products**2 / (whole.squares * RUN_VARIANCE)
            chance = MIN_STANDARD_ERRORS**2 / max(distance, 1)
            trust = whole.products / whole.squares * max(0, 1 - chance)
        reports = self.targets.get(target)
        if reports is not None:
            own = reports.regression
            trust = (own.products + SERVICE_WEIGHT * min(1, trust)) / (
                own.squares + SERVICE_WEIGHT
            )
        return max(0, min(1, trust))

    def note_run(
        self, target: TargetId, predicted: float, measured: float
    ) -> None:
        """Compare a run with what was reported when it was sent.

        Parameters
        ----------
        target
            The target.
        predicted
            The prediction when the request was sent.
        measured
            Logarithm of its run time relative to the time expected without
            reports.
        """
        reports = self.targets.get(target)
        if reports is None or not predicted:
            return
        self.offset += (measured - self.offset) / SERVICE_SAMPLES
        self.regression.add(predicted, measured - self.offset)
        reports.regression.add(predicted, measured - self.offset)

    def note_report(
        self,
        target: TargetId,
        report: LoadReport | None,
        running: int,
        now: Seconds,
    ) -> None:
        """Record the report of a response.

        Parameters
        ----------
        target
            The target.
        report
            Its report; None if the response had none.
        running
            Requests that were sent to the target and have not ended.
        now
            The current time, in seconds.
        """
        if report is None:
            return
        reports = self.targets.get(target)
        if reports is None:
            reports = TargetReports()
            self.targets[target] = reports
        # The target may count the request of this response too.
        own = running + 1
        reports.others = max(0, report.running + report.waiting - own)
        reports.slowdown = report.slowdown or 0
        queued = 1 + reports.others / report.slots
        load = math.log((report.slowdown or 1) * queued)
        reports.load = max(MIN_LOG_LOAD, min(MAX_LOG_LOAD, load))
        if reports.usual is None:
            reports.usual = reports.load
        reports.usual += MEAN_GAIN * (reports.load - reports.usual)
        reports.at = now
        reports.until = now + REPORT_LIFE_S
        if now >= reports.trusted_at + TRUST_INTERVAL_S:
            reports.trusted_at = now
            reports.trust = self.trust(target)
        change = reports.load - reports.usual
        reports.claimed = math.exp(change) - 1
        reports.excess = 0
        if reports.trust >= MIN_TRUST:
            reports.excess = math.exp(reports.trust * change) - 1

    def slowdown(self, target: TargetId) -> float | str:
        """Return the last reported slowdown for logs, ``none`` without one."""
        reports = self.targets.get(target)
        return reports.slowdown if reports and reports.slowdown else 'none'

    def is_trusted(self, target: TargetId) -> bool:
        """Whether the reports of a target are used."""
        reports = self.targets.get(target)
        return reports is not None and reports.trust >= MIN_TRUST

    def forget(self, target: TargetId) -> None:
        """Forget the reports of a target that was restarted or removed."""
        self.targets.pop(target, None)

    def keep_only(self, targets: Container[TargetId]) -> None:
        """Forget the targets that are no longer there."""
        self.targets = {
            target: reports
            for target, reports in self.targets.items()
            if target in targets
        }
