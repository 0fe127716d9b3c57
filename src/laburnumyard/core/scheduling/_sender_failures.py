"""Tells a target that is gone from a sender that has lost its links."""

from collections import defaultdict

from laburnumyard.core.ids import DaemonName, Seconds, TargetId
from laburnumyard.core.reachability import SUSPICIOUS_FAILURES, RecentFailures
from laburnumyard.core.scheduling._work import Outcome

# Outcomes that prove that the sender reaches targets.
REACHED_OUTCOMES = frozenset(
    (Outcome.ANSWERED, Outcome.FAILED, Outcome.SHED, Outcome.NOT_OWNER)
)


class SenderFailures:
    """Recent failures to reach targets, by sender."""

    def __init__(self) -> None:
        """Start without failures."""
        self.failures: defaultdict[DaemonName, RecentFailures]
        self.failures = defaultdict(RecentFailures)

    def judge(
        self,
        sender: DaemonName,
        target: TargetId,
        outcome: Outcome,
        now: Seconds,
    ) -> Outcome:
        """Record the outcome of a send, and return what it says of the target.

        If the links of the sender are to blame, that is nothing: ``CANCELLED``.
        """
        if outcome is Outcome.UNREACHABLE:
            failures = self.failures[sender]
            failures.note(target, now)
            if failures.count(now) >= SUSPICIOUS_FAILURES:
                return Outcome.CANCELLED
        elif outcome in REACHED_OUTCOMES:
            self.failures.pop(sender, None)
        return outcome
