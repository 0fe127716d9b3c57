"""Scheduler, shard and link settings derived from the gateway settings."""

from dataclasses import dataclass

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling import RetryBudget, SchedulerSettings
from laburnumyard.core.shards import ShardSettings
from laburnumyard.gateway._caller_listener import (
    SOCKET_BUFFER_BYTES,
    ConnectionLimits,
)
from laburnumyard.schema._generated.gateway import (
    BoundSettings,
    MachineSettings,
)
from laburnumyard.wire import LinkSettings

MS_PER_SECOND = 1000
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
    """Settings of schedulers and shard managers."""

    scheduling: SchedulerSettings
    shards: ShardSettings


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
        SchedulerSettings(budget), ShardSettings(hold_s=Seconds(hold))
    )


def derive_connection_limits(machine: MachineSettings) -> ConnectionLimits:
    """Derive the limits on the connections of callers from the machine."""
    return ConnectionLimits(
        machine.max_descriptors,
        machine.connections_per_address,
        SOCKET_BUFFER_BYTES if machine.memory_mb else 0,
    )
