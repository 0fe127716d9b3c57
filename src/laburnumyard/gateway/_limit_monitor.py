"""Records and logs the rate limits that targets state in their responses."""

from laburnumyard.clocks import boot_time
from laburnumyard.core.rate_limits import (
    LimitKind,
    LimitStatement,
    RateLimit,
)
from laburnumyard.core.target_directory import TargetLife
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.telemetry import METRICS, Event, log_event

# Malformed values are logged once per target, up to this number of targets.
MAX_LOGGED_TARGETS = 1000


class LimitMonitor:
    """Records the rate limits that responses to this gateway state.

    Parameters
    ----------
    view
        Holds the limits.

    Attributes
    ----------
    malformed
        Target instances whose malformed value was logged.
    """

    def __init__(self, view: ClusterView) -> None:
        """Create a monitor that has logged nothing."""
        self.view = view
        self.malformed: set[TargetLife] = set()

    def current(self, life: TargetLife) -> RateLimit | None:
        """Return the limit of a target instance, None if it has none."""
        return self.view.limits.current(life, boot_time())

    def record(self, life: TargetLife, statement: LimitStatement) -> None:
        """Record what a response says; changes are logged."""
        if statement.kind is LimitKind.MALFORMED:
            METRICS.count('target_limits_total', state='malformed')
            self.log_malformed(life, statement.text)
            return
        if self.view.limits.record(life, statement, boot_time()):
            state = 'limited'
            if statement.kind is LimitKind.NONE:
                state = 'limit-lifted'
            METRICS.count('target_limits_total', state=state)
            log_event(
                Event.TARGET,
                target=life.target,
                state=state,
                per_second=statement.per_second,
                started_at_ms=life.started_at_ms,
            )

    def log_malformed(self, life: TargetLife, text: str) -> None:
        """Log a malformed value; what was stated before still holds."""
        if life in self.malformed or len(self.malformed) >= MAX_LOGGED_TARGETS:
            return
        self.malformed.add(life)
        log_event(
            Event.FAULT,
            'WARNING',
            target=life.target,
            problem=(
                f'rate limit is {text!r}, expected one decimal number;'
                ' the value is ignored'
            ),
        )
