"""Eviction of a waiting request from a full queue."""

from math import ceil

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import QueueEntry
from laburnumyard.core.requests._fair_queueing import Flows
from laburnumyard.core.requests._flows import Flow, PriorityLevel


def find_evictable(flows: Flows, flow: Flow, now: Seconds) -> QueueEntry | None:
    """Find the waiting request to evict for a new one.

    Parameters
    ----------
    flows
        All waiting requests of the target.
    flow
        The flow of the new request.
    now
        The current time, in seconds.

    Returns
    -------
    QueueEntry or None
        The newest request of the customer with the longest queue in the
        lowest priority class; None if the new request itself ranks lowest.
    """
    last_key = (flows.level_of(flow, now).rank, flow.waiting + 1)
    evicted = None
    counts = _waiting_by_level(flows, now)
    for other in flows.active_flows.values():
        level = flows.level_of(other, now)
        eviction_key = (level.rank, other.waiting)
        if eviction_key <= last_key or counts[level] <= _reserved_places(
            flows, level
        ):
            continue
        newest = other.newest()
        if newest is not None:
            last_key = eviction_key
            evicted = newest
    return evicted


def _waiting_by_level(flows: Flows, now: Seconds) -> dict[PriorityLevel, int]:
    counts = dict.fromkeys(flows.levels.values(), 0)
    for flow in flows.active_flows.values():
        counts[flows.level_of(flow, now)] += flow.waiting
    return counts


def _reserved_places(flows: Flows, level: PriorityLevel) -> int:
    limit = flows.settings.service.queue_limit
    return ceil(level.priority_class.least_share * limit)
