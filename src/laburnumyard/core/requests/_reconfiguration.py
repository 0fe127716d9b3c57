"""Transfer of waiting and running requests to new settings."""

from collections.abc import Iterable

from laburnumyard.core.requests._entries import QueueEntry, RequestState
from laburnumyard.core.requests._fair_queueing import Flows
from laburnumyard.core.requests._settings import QueueSettings


def reconfigure_flows(
    previous: Flows,
    settings: QueueSettings,
    slots: int,
    entries: Iterable[QueueEntry],
) -> Flows:
    """Build the flows for new settings and move all requests to them.

    Parameters
    ----------
    previous
        The flows under the previous settings.
    settings
        The new settings.
    slots
        Number of slots of the target.
    entries
        All waiting and running requests.

    Returns
    -------
    Flows
        The new flows; the used part of each customer's share is kept.
    """
    flows = Flows(settings, slots)
    for flow in previous.flow_by_customer.values():
        flows.flow_of(flow.customer).copy_usage_from(flow)
    for entry in sorted(entries, key=_order):
        _move_entry(flows, entry)
    return flows


def _move_entry(flows: Flows, entry: QueueEntry) -> None:
    entry.flow = flows.flow_of(entry.flow.customer)
    if entry.state is RequestState.WAITING:
        flows.add(entry)
        return
    level_key = (entry.level.is_paid, entry.level.priority_class.name)
    entry.level = flows.levels.get(level_key, flows.common_level)
    entry.is_paid = entry.is_paid and entry.flow.meter is not None
    if entry.is_paid:
        entry.flow.paid_running += 1


def _order(entry: QueueEntry) -> int:
    return entry.order
