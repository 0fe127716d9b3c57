"""Requests that wait or run come under other settings."""

from collections.abc import Iterable

from laburnumyard.core.requests._entries import Entry, State
from laburnumyard.core.requests._fair_queueing import Flows
from laburnumyard.core.requests._settings import QueueSettings


def rebuilt(
    former: Flows,
    settings: QueueSettings,
    slots: int,
    entries: Iterable[Entry],
) -> Flows:
    """Bring every request under other settings.

    Parameters
    ----------
    former
        The flows under the settings so far.
    settings
        The new settings.
    slots
        The slots of the target.
    entries
        Every request that waits or runs.

    Returns
    -------
    Flows
        New flows. What customers have used of their shares is kept.
    """
    flows = Flows(settings, slots)
    for flow in former.known.values():
        flows.flow_of(flow.customer).inherit(flow)
    for entry in sorted(entries, key=_order):
        _adopt(flows, entry)
    return flows


def _adopt(flows: Flows, entry: Entry) -> None:
    entry.flow = flows.flow_of(entry.flow.customer)
    if entry.state is State.WAITING:
        flows.add(entry)
        return
    place = (entry.line.is_paid, entry.line.priority_class.name)
    entry.line = flows.lines.get(place, flows.common)
    entry.is_paid = entry.is_paid and entry.flow.meter is not None
    if entry.is_paid:
        entry.flow.paid_running += 1


def _order(entry: Entry) -> int:
    return entry.order
