"""Requests under load and failure: queues, tickets, retries, connections.

Everything here is a pure decision: the time ``now`` and random draws are
arguments, and what has to be done is returned.

How a shell drives a target's queue
-----------------------------------
The dispatcher of a target holds one ``TargetQueue`` and, for each service,
one ``OperationTimes`` that the queues of its targets share::

    settings = queue_settings(objects, TargetName('catalogue-1'))
    queue = TargetQueue(settings, times, is_cold=False)
    for effect in queue.handle(Arrive(request), now):
        carry_out(effect)

``Arrive`` is fed once for each try, under an id that no request in the queue
has; the deadline in it is absolute, on the clock of ``now``. The effects of
every ``handle`` are carried out in their order, all of them before the next
event is fed:

- ``Send``: send to the target. Exactly one ``Finished`` must follow, whatever
  happens. The shell answers the caller itself on ``ANSWERED``, ``SHED``
  (target-shed), ``UNREACHABLE`` (target-unreachable, only if no byte left)
  and ``BROKEN_OFF`` (target-broke-off), unless it was told ``CancelRunning``
  before.
- ``Refuse``: answer the caller with the failure; its kind says whether the
  request ran. The queue has forgotten the request.
- ``CancelRunning``: answer the caller with the failure now (nobody waits
  where it is ``None``), close the connection, then feed ``Finished`` with
  ``CANCELLED``. The slot counts as taken until then: a shell that wants to
  give the target time to stop feeds it later.
- ``Preempt``: close the connection, tell the caller nothing, then feed
  ``Finished`` with ``CANCELLED``; the request waits again. If its whole
  answer was read before, feed ``ANSWERED`` and give it to the caller. A
  ``CancelRunning`` for the same request may follow before ``Finished`` does.
- ``WakeAt``: feed ``Tick`` at that time; it replaces the earlier ``WakeAt``.

``CallerGone`` is fed when the caller closes its connection or sends
``Cancel``. A run that is not repeatable goes on then. ``Drain`` with
``serve_waiting`` is for a daemon that leaves, without it for a target that
leaves. When a target dies, each of its runs ends with ``BROKEN_OFF``.
``TargetSheds`` is also fed when the ``ConnectionPolicy`` finds the target
``UNREACHABLE``: the queue then pauses and tries with one request at a time.

How a shell drives the ledger
-----------------------------
``parse_ticket`` reads the caller's header. The entry passes a submission to
``ticket.issuer``, or answers ``ticket-void`` itself if that daemon has
another incarnation by now. Every other failure on the way to the ledger goes
through ``failure_before_ledger``: an earlier submission of the ticket may have
run. The issuer calls ``submit``: after ``Run`` it
passes the request to the dispatcher once and calls ``finish`` exactly once,
with ``Ran.NOT_RUN`` only if the answer's kind promises it. Every other
decision carries what the caller gets.

Retries, quarantine, connections
--------------------------------
``RetryBudget.note_request`` once for each request that enters; then
``may_retry``, ``retry_delay`` and ``RetryBudget.spend`` for each retry, with
``hops`` one higher in the message. ``Quarantine.refusal`` before ``Arrive``;
``note_death`` when a target died (all its connections ended and a fresh one
is refused), its result to all peers, who ``merge`` it; ``suspects`` goes to
a daemon that joins. A request that ``is_suspect`` is not retried by the
system. The entry holds a refusal back for ``refusal_delay`` before it answers
its caller. ``ConnectionPolicy`` is held per target beside its idle connections.
"""

from laburnumyard.core.quarantine import (
    DeathId,
    Fingerprint,
    Quarantine,
    Suspect,
    death_id,
    fingerprint_of,
)
from laburnumyard.core.requests._connections import (
    Choice,
    Connection,
    ConnectionId,
    ConnectionPolicy,
    Reach,
)
from laburnumyard.core.requests._decisions import (
    Conflict,
    Decision,
    NotTaken,
    Replay,
    Run,
    StillRunning,
    Void,
)
from laburnumyard.core.requests._effects import (
    CancelRunning,
    Effect,
    Preempt,
    Refuse,
    Send,
    WakeAt,
)
from laburnumyard.core.requests._events import (
    CapacityChanged,
    Drain,
    Event,
    SettingsChanged,
    TargetSheds,
    Tick,
)
from laburnumyard.core.requests._refusal_delay import refusal_delay
from laburnumyard.core.requests._requests import (
    Arrive,
    CallerGone,
    Finished,
    Outcome,
    Request,
)
from laburnumyard.core.requests._retries import (
    HOPS_LIMIT,
    LEAST_REMAINING_S,
    RetryBudget,
    costs_budget,
    may_retry,
    retry_delay,
)
from laburnumyard.core.requests._run_times import OperationTimes
from laburnumyard.core.requests._settings import QueueSettings, queue_settings
from laburnumyard.core.requests._target_queue import TargetQueue
from laburnumyard.core.requests._ticket_ledger import TicketLedger
from laburnumyard.core.requests._tickets import (
    Ticket,
    failure_before_ledger,
    parse_ticket,
)

__all__ = (
    'HOPS_LIMIT',
    'LEAST_REMAINING_S',
    'Arrive',
    'CallerGone',
    'CancelRunning',
    'CapacityChanged',
    'Choice',
    'Conflict',
    'Connection',
    'ConnectionId',
    'ConnectionPolicy',
    'DeathId',
    'Decision',
    'Drain',
    'Effect',
    'Event',
    'Fingerprint',
    'Finished',
    'NotTaken',
    'OperationTimes',
    'Outcome',
    'Preempt',
    'Quarantine',
    'QueueSettings',
    'Reach',
    'Refuse',
    'Replay',
    'Request',
    'RetryBudget',
    'Run',
    'Send',
    'SettingsChanged',
    'StillRunning',
    'Suspect',
    'TargetQueue',
    'TargetSheds',
    'Tick',
    'Ticket',
    'TicketLedger',
    'Void',
    'WakeAt',
    'costs_budget',
    'death_id',
    'failure_before_ledger',
    'fingerprint_of',
    'may_retry',
    'parse_ticket',
    'queue_settings',
    'refusal_delay',
    'retry_delay',
)
