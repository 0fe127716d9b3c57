"""Request handling under load and failure: queues, tickets and retries.

All functions and classes are free of I/O: the time ``now`` and random numbers
are arguments, and the actions to take are returned.

Driving a target's queue
------------------------
The dispatcher of a target holds one ``TargetQueue``. The queues of all targets
of a service share one ``OperationTimes``::

    settings = queue_settings(objects, TargetName('catalogue-1'))
    queue = TargetQueue(settings, times, is_cold=False)
    for effect in queue.handle(Arrive(request), now):
        carry_out(effect)

``Arrive`` is delivered once per attempt, with an id that no request in the
queue has; its deadline is absolute, on the clock of ``now``. The effects of
each ``handle`` are carried out in order, all of them before the next event:

- ``Send``: send to the target. Exactly one ``Finished`` must follow in every
  case. The dispatcher answers the caller itself on ``ANSWERED``, ``SHED``
  (target-shed), ``UNREACHABLE`` (target-unreachable, only if no byte was sent)
  and ``BROKEN_OFF`` (target-broke-off), unless it received ``CancelRunning``
  before.
- ``Refuse``: answer the caller with the failure; its kind says whether the
  request ran. The queue no longer holds the request.
- ``CancelRunning``: answer the caller with the failure now (``None`` if no
  caller waits), close the connection, then deliver ``Finished`` with
  ``CANCELLED``. The slot counts as occupied until then: a dispatcher that wants
  to give the target time to stop delivers it later.
- ``Preempt``: close the connection without answering the caller, then deliver
  ``Finished`` with ``CANCELLED``; the request is queued again. If its complete
  answer was read before, deliver ``ANSWERED`` and pass it to the caller. A
  ``CancelRunning`` for the same request may follow before ``Finished`` does.
- ``WakeAt``: deliver ``Tick`` at that time; it replaces the earlier ``WakeAt``.

``CallerDisconnected`` is delivered when the caller closes its connection or
sends ``Cancel``; a run that is not repeatable then continues. ``Drain`` with
``serve_waiting`` is for a leaving daemon, without it for a leaving target.
When a target dies, each of its runs ends with ``BROKEN_OFF``. ``TargetSheds``
is also delivered when the ``ConnectionPolicy`` finds the target
``UNREACHABLE``: the queue then pauses and probes with one request at a time.

Driving the ticket ledger
-------------------------
``parse_ticket`` parses the caller's header. The entry daemon forwards a
submission to ``ticket.issuer``, or answers ``ticket-void`` itself if that
daemon has another incarnation by now. Every other failure on the way to the
ledger goes through ``failure_before_ledger``: an earlier submission of the
ticket may have run. The issuer calls ``submit``: after ``Run`` it passes the
request to the dispatcher once and calls ``finish`` exactly once, with
``Ran.NOT_RUN`` only if the kind of the answer guarantees it. Every other
decision carries the answer to the caller.

Retries, quarantine, connections
--------------------------------
``RetryBudget.note_request`` is called once for each request that enters; then
``may_retry``, ``retry_delay`` and ``RetryBudget.spend`` for each retry, with
``hops`` one higher in the message. ``Quarantine.refusal`` is called before
``Arrive`` and ``note_death`` when a target died (all its connections closed and
a new one is refused); its result goes to all peers, which ``merge`` it, and
``suspects`` to a daemon that joins. A request that ``is_suspect`` is not
retried automatically. The entry daemon delays a refusal by ``refusal_delay``
before it answers its caller. Each target has a ``ConnectionPolicy`` next to its
idle connections.
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
    Connection,
    ConnectionChoice,
    ConnectionId,
    ConnectionPolicy,
    Reachability,
)
from laburnumyard.core.requests._decisions import (
    Conflict,
    Decision,
    Rejected,
    Replay,
    Run,
    StillRunning,
    TicketVoid,
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
    CallerDisconnected,
    Finished,
    Outcome,
    Request,
)
from laburnumyard.core.requests._retries import (
    MAX_HOPS,
    MIN_REMAINING_S,
    RetryBudget,
    may_retry,
    retry_delay,
    retry_loads_target,
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
    'MAX_HOPS',
    'MIN_REMAINING_S',
    'Arrive',
    'CallerDisconnected',
    'CancelRunning',
    'CapacityChanged',
    'Conflict',
    'Connection',
    'ConnectionChoice',
    'ConnectionId',
    'ConnectionPolicy',
    'DeathId',
    'Decision',
    'Drain',
    'Effect',
    'Event',
    'Fingerprint',
    'Finished',
    'OperationTimes',
    'Outcome',
    'Preempt',
    'Quarantine',
    'QueueSettings',
    'Reachability',
    'Refuse',
    'Rejected',
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
    'TicketVoid',
    'WakeAt',
    'death_id',
    'failure_before_ledger',
    'fingerprint_of',
    'may_retry',
    'parse_ticket',
    'queue_settings',
    'refusal_delay',
    'retry_delay',
    'retry_loads_target',
)
