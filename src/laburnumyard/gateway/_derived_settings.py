"""Scheduler, shard and link settings derived from the gateway settings."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds, ServiceName
from laburnumyard.core.rate_limits import WarmUpBound
from laburnumyard.core.scheduling import RetryBudget, SchedulerSettings
from laburnumyard.core.shards import ShardSettings
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.schema._generated.gateway import (
    BoundSettings,
)
from laburnumyard.wire import LinkSettings

MS_PER_SECOND = 1000
# Part of the time to evacuate a data centre in which a granted slot is used: a
# gateway that was paused after the grant may not know of the evacuation.
GRANT_LIFE_PART = 0.4
# A frozen coordinator is detected after the sum of both.
PROBE_AFTER_S = 0.1
SILENT_AFTER_S = 0.25
# Interval between checks of links, short enough for both times above.
SWEEP_INTERVAL_S = 0.05
# Unused links are closed after this time.
IDLE_CLOSE_AFTER_S = 30
LINK_SETTINGS = LinkSettings(
    probe_after_s=PROBE_AFTER_S,
    silent_after_s=SILENT_AFTER_S,
    idle_close_after_s=IDLE_CLOSE_AFTER_S,
    sweep_interval_s=SWEEP_INTERVAL_S,
)
# Links for fetches mostly wait for news. A source that stops answering is
# replaced before its items are two seconds old.
FETCH_PROBE_AFTER_S = 0.4
FETCH_SILENT_AFTER_S = 0.3
FETCH_LINK_SETTINGS = LinkSettings(
    probe_after_s=FETCH_PROBE_AFTER_S,
    silent_after_s=FETCH_SILENT_AFTER_S,
    idle_close_after_s=IDLE_CLOSE_AFTER_S,
)


@dataclass(frozen=True, slots=True)
class DerivedSettings:
    """Settings of schedulers and shard managers.

    Parameters
    ----------
    scheduling, shards
        Settings of schedulers and of shard managers.
    warm_up_bound
        Bound on the requests that a cold target gets, None without one.
    grant_life_s
        How long after its grant a slot may be used, in seconds; None for no
        limit.
    """

    scheduling: SchedulerSettings
    shards: ShardSettings
    warm_up_bound: WarmUpBound | None = None
    grant_life_s: Seconds | None = None


def derive_settings(bounds: BoundSettings) -> DerivedSettings:
    """Derive the settings from the limits set by the operator.

    Parameters
    ----------
    bounds
        Limits from the settings file.
    """
    budget = RetryBudget(
        bounds.retry_ratio,
        bounds.retry_allowance,
        Seconds(bounds.retry_window_s),
    )
    hold = min(ShardSettings().hold_s, bounds.hold_max_ms / MS_PER_SECOND)
    return DerivedSettings(
        SchedulerSettings(budget),
        ShardSettings(hold_s=Seconds(hold)),
        _warm_up_bound(bounds),
        _grant_life(bounds),
    )


def cold_rate(
    view: ClusterView, service: ServiceName, settings: DerivedSettings
) -> float:
    """Return the requests per second that a cold target of a service may get.

    Parameters
    ----------
    view
        Has the services as configured.
    service
        Name of the service.
    settings
        Has the bound set by the operator.

    Returns
    -------
    float
        The rate of the whole fleet; 0 for no limit.
    """
    per_second = view.warm_up_per_s(service)
    if settings.warm_up_bound is None:
        return per_second
    return settings.warm_up_bound.rate(per_second)


def _warm_up_bound(bounds: BoundSettings) -> WarmUpBound | None:
    if bounds.warmup_overshoot is None or bounds.warmup_slack is None:
        return None
    return WarmUpBound(bounds.warmup_overshoot, bounds.warmup_slack)


def _grant_life(bounds: BoundSettings) -> Seconds | None:
    if bounds.evacuate_ms is None:
        return None
    evacuate_s = bounds.evacuate_ms / MS_PER_SECOND
    return Seconds(GRANT_LIFE_PART * evacuate_s)
