"""Tells a target that is gone from a sender that has lost its links."""

from collections import defaultdict

from laburnumyard.core.ids import DaemonName, Seconds, TargetId
from laburnumyard.core.scheduling._work import Outcome

# Targets that a sender fails to reach, and reaches none meanwhile, before its
# own links are to blame.
SUSPICIOUS_TARGETS = 2
FAILURE_AGE_S = 2.0
# Outcomes that prove that the sender reaches targets.
REACHED_OUTCOMES = frozenset(
    (Outcome.ANSWERED, Outcome.FAILED, Outcome.SHED, Outcome.NOT_OWNER)
)


class SenderFailures:
    """Recent failures to reach targets, by sender."""

    def __init__(self) -> None:
        """Start without failures."""
        self.failed_at: defaultdict[DaemonName, dict[TargetId, Seconds]]
        self.failed_at = defaultdict(dict)

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
            self.failed_at[sender][target] = now
            if self.is_suspect(sender, now):
                return Outcome.CANCELLED
        elif outcome in REACHED_OUTCOMES:
            self.failed_at.pop(sender, None)
        return outcome

    def is_suspect(self, sender: DaemonName, now: Seconds) -> bool:
        """Whether the links of a sender are to blame for its failures."""
        recent = sum(
            now - failed_at < FAILURE_AGE_S
            for failed_at in self.failed_at.get(sender, {}).values()
        )
        return recent >= SUSPICIOUS_TARGETS
