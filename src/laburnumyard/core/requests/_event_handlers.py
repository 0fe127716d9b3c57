"""Handlers of the events of a target's queue."""

from functools import singledispatch
from typing import TYPE_CHECKING

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._effects import Refuse
from laburnumyard.core.requests._entries import QueueEntry, RequestState
from laburnumyard.core.requests._events import (
    CapacityChanged,
    Drain,
    SettingsChanged,
    TargetSheds,
    Tick,
)
from laburnumyard.core.requests._eviction import find_evictable
from laburnumyard.core.requests._reconfiguration import reconfigure_flows
from laburnumyard.core.requests._requests import (
    Arrive,
    CallerDisconnected,
    Finished,
    Outcome,
    Request,
)
from laburnumyard.core.requests._settings import QueueSettings

if TYPE_CHECKING:
    from laburnumyard.core.requests._target_queue import TargetQueue

REFUSED_OUTCOMES = frozenset((Outcome.SHED, Outcome.UNREACHABLE))


@singledispatch
def apply(event: object, queue: 'TargetQueue', now: Seconds) -> None:
    """Apply one event to the state of a queue."""
    raise TypeError(f'{event!r} is not an event of a target queue')


@apply.register(Arrive)
def _arrive(event: Arrive, queue: 'TargetQueue', now: Seconds) -> None:
    request = event.request
    if request.request_id in queue.entries:
        raise ValueError(
            f'request id {request.request_id!r} is already in the queue: '
            'use a new id for each attempt',
        )
    entry = _admitted(request, queue, now)
    if entry is None:
        return
    queue.entries[request.request_id] = entry
    queue.flows.add(entry)
    queue.deadlines.add(entry)


def _admitted(
    request: Request,
    queue: 'TargetQueue',
    now: Seconds,
) -> QueueEntry | None:
    queue.arrivals += 1
    entry = QueueEntry(
        request,
        queue.flows.flow_of(request.customer),
        queue.arrivals,
        queue.times.is_long(request.operation),
    )
    failure = _check_admission(entry, queue, now)
    if failure is None:
        return entry
    queue.effects.append(Refuse(request.request_id, failure))
    return None


def _check_admission(
    entry: QueueEntry,
    queue: 'TargetQueue',
    now: Seconds,
) -> Failure | None:
    if queue.draining is not None:
        return Failure(queue.draining.kind)
    wait = Seconds(0)
    if not entry.flow.level.is_deferrable:
        wait = queue.expected_wait(entry, now)
    failure = queue.admission.refusal(entry, wait, now)
    return failure or _make_room(entry, queue, now)


def _make_room(
    entry: QueueEntry,
    queue: 'TargetQueue',
    now: Seconds,
) -> Failure | None:
    flow = entry.flow
    flows = queue.flows
    limit = queue.settings.service.queue_limit
    if flow.level.is_deferrable:
        if flows.waiting_deferred < limit:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f'{limit} deferrable requests wait: retry later',
        )
    if flows.waiting < limit:
        return None
    evicted = find_evictable(flows, flow, now)
    detail = f'{limit} requests wait: send more slowly'
    if evicted is not None:
        queue.refuse(evicted, Failure(ErrorKind.OVERLOADED, detail))
        return None
    if flow.meter is None or flow.is_within_share(now):
        return Failure(ErrorKind.OVERLOADED, detail)
    return Failure(ErrorKind.OVER_SHARE, detail)


@apply.register(Finished)
def _finished(event: Finished, queue: 'TargetQueue', now: Seconds) -> None:
    entry = queue.running.pop(event.request_id, None)
    if entry is None:
        return
    queue.flows.correct_charges(entry, now)
    _record_outcome(entry, event.outcome, queue, now)
    if (
        entry.state is RequestState.PREEMPTING
        and event.outcome is Outcome.CANCELLED
    ):
        queue.restore(entry)
        return
    entry.state = RequestState.DONE
    queue.entries.pop(event.request_id)


def _record_outcome(
    entry: QueueEntry,
    outcome: Outcome,
    queue: 'TargetQueue',
    now: Seconds,
) -> None:
    run_time = Seconds(now - entry.started)
    if outcome is Outcome.ANSWERED:
        queue.times.record(entry.request.operation, run_time)
        queue.concurrency_limiter.on_answer()
    elif outcome in REFUSED_OUTCOMES:
        queue.concurrency_limiter.on_refusal(now)
    else:
        queue.times.record_interrupted(run_time)


@apply.register(CallerDisconnected)
def _caller_gone(
    event: CallerDisconnected, queue: 'TargetQueue', now: Seconds
) -> None:
    entry = queue.entries.get(event.request_id)
    if entry is None:
        return
    if entry.state is RequestState.WAITING:
        queue.drop(entry)
    elif (
        entry.request.repeatable and entry.state is not RequestState.CANCELLING
    ):
        queue.cancel(entry, None)


@apply.register(Tick)
def _clear_wake(event: Tick, queue: 'TargetQueue', now: Seconds) -> None:
    queue.next_wake = None


@apply.register(TargetSheds)
def _target_sheds(
    event: TargetSheds, queue: 'TargetQueue', now: Seconds
) -> None:
    queue.concurrency_limiter.on_refusal(now)


@apply.register(CapacityChanged)
def _resize(event: CapacityChanged, queue: 'TargetQueue', now: Seconds) -> None:
    queue.concurrency_limiter.resize(
        event.slots, event.connections, is_cold=event.cold
    )
    _reconfigure(queue, queue.settings, event.slots)


@apply.register(SettingsChanged)
def _change_settings(
    event: SettingsChanged, queue: 'TargetQueue', now: Seconds
) -> None:
    target = event.settings.target
    queue.concurrency_limiter.resize(
        target.slots, target.connections, is_cold=False
    )
    _reconfigure(queue, event.settings, target.slots)


def _reconfigure(
    queue: 'TargetQueue', settings: QueueSettings, slots: int
) -> None:
    queue.settings = settings
    queue.flows = reconfigure_flows(
        queue.flows, settings, slots, queue.entries.values()
    )


@apply.register(Drain)
def _drain(event: Drain, queue: 'TargetQueue', now: Seconds) -> None:
    if queue.draining is None or queue.draining.serve_waiting:
        queue.draining = event
    if event.serve_waiting:
        return
    for entry in tuple(queue.entries.values()):
        if entry.state is RequestState.WAITING:
            queue.refuse(entry, Failure(event.kind))
