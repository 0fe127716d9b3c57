"""Which waiting request makes room for a new one in a full queue."""

from math import ceil

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import Entry
from laburnumyard.core.requests._fair_queueing import Flows
from laburnumyard.core.requests._flows import Flow, Line


def displaceable(flows: Flows, flow: Flow, now: Seconds) -> Entry | None:
    """Find the waiting request that has to make room.

    Parameters
    ----------
    flows
        All waiting requests.
    flow
        The flow of the request that has just arrived.
    now
        The time.

    Returns
    -------
    Entry or None
        The newest request of the customer with the longest queue in the
        last class; None where the new request is itself the last.
    """
    last_place = (flows.line_of(flow, now).rank, flow.waiting + 1)
    last = None
    counts = _waiting_by_line(flows, now)
    for other in flows.active.values():
        line = flows.line_of(other, now)
        place = (line.rank, other.waiting)
        if place <= last_place or counts[line] <= _least_room(flows, line):
            continue
        newest = other.newest()
        if newest is not None:
            last_place = place
            last = newest
    return last


def _waiting_by_line(flows: Flows, now: Seconds) -> dict[Line, int]:
    counts = dict.fromkeys(flows.lines.values(), 0)
    for flow in flows.active.values():
        counts[flows.line_of(flow, now)] += flow.waiting
    return counts


def _least_room(flows: Flows, line: Line) -> int:
    limit = flows.settings.service.queue_limit
    return ceil(line.priority_class.least_share * limit)
