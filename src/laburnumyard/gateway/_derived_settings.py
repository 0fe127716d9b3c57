"""Bounds of the gateway's decisions, from its settings."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling import RetryBudget, SchedulerSettings
from laburnumyard.core.shards import ShardSettings
from laburnumyard.schema._generated.gateway import BoundSettings
from laburnumyard.wire import LinkSettings

MS_PER_SECOND = 1000
# A coordinator that is frozen is noticed after both together, in seconds.
PROBE_AFTER_S = 0.1
SILENT_AFTER_S = 0.25
# Links are looked at this often, in seconds, so that both times are kept.
SWEEP_INTERVAL_S = 0.05
# A link that was not used for so long is closed, in seconds.
IDLE_CLOSE_AFTER_S = 30
LINK_SETTINGS = LinkSettings(
    probe_after_s=PROBE_AFTER_S,
    silent_after_s=SILENT_AFTER_S,
    idle_close_after_s=IDLE_CLOSE_AFTER_S,
    sweep_interval_s=SWEEP_INTERVAL_S,
)


@dataclass(frozen=True, slots=True)
class DerivedSettings:
    """What schedulers and shard managers keep to."""

    scheduling: SchedulerSettings
    shards: ShardSettings


def derive_settings(bounds: BoundSettings) -> DerivedSettings:
    """Return the bounds that follow from the operator's.

    Parameters
    ----------
    bounds
        The operator's.
    """
    budget = RetryBudget(
        bounds.retry_ratio,
        bounds.retry_allowance,
        Seconds(bounds.retry_window_s),
    )
    hold = min(ShardSettings().hold_s, bounds.hold_max_ms / MS_PER_SECOND)
    return DerivedSettings(
        SchedulerSettings(budget), ShardSettings(hold_s=Seconds(hold))
    )
