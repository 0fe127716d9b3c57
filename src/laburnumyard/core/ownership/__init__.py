"""Ownership of keys: terms, grants, moves and takeovers.

A scope is a service and a data centre of its targets. A daemon drives one
``LeaseManager`` for each scope that it may manage, which is never in its own
data centre. The state machine performs no I/O:

1. Create it with ``ManagerSettings`` and ``service_plan(objects, ...)``; it is
   idle. Feed ``HeadRead`` with ``asked_at=None`` for each head that arrives
   from peers, and ``PlanChanged`` for each new configuration.
2. Feed ``TakeOver`` when this daemon is first in the rendezvous order of
   ``SERVICE/DATA_CENTRE`` over the live daemons of other data centres, and
   ``needs_manager`` holds for the scope. Compare incarnations, not only names:
   a daemon that was restarted before it was suspected manages nothing.
3. Call ``handle(event, now)`` with a boot-time clock for each event, and
   ``handle(Tick(), now)`` at ``wake_at(now)``. Run the returned effects in
   order:

   - ``ReadHead``: read ``assignment/SERVICE/head`` and the chunks that are not
     cached; ``decode_head`` and ``assemble`` validate them. Answer ``HeadRead``
     with the time at which the store was asked, or ``HeadUnreadable``. Each
     ``ReadHead`` gets exactly one of the two.
   - ``SwapHead``: write the chunks, then ``encode_head(effect.head)`` with
     ``if-match: revision`` (``if-none-match: *`` for ``None``). Answer with one
     of ``SwapDone``, ``SwapRefused`` (412, or the swap was certainly not sent)
     and ``SwapUnknown`` (no answer). Do not retry a swap: the manager does.
   - ``PrepareChunks``: write the chunks, and wait for these writes in a
     ``SwapHead`` that names the same chunks. Needs no answer; a failure is
     harmless.
   - ``SendSeal``, ``SendGrant``, ``SendRenew``: one call of the target API, or
     a message to ``effect.guard`` for a target without fencing; not after
     ``not_after``. Answer ``TargetAnswer`` with ``call`` and ``guard`` copied;
     a failed call needs no event.
   - ``AssignmentChanged``: route by it, and send it to the other daemons with
     its revision; the store has acknowledged it. The managers of other scopes
     grant what a move gave to their targets once they are fed the head.
   - ``OfferScope``: send ``HandOver`` to the next daemon in the order, which
     feeds ``TakeOver``. After ``Leave`` the daemon may stop when ``is_idle``.
   - ``LogDecision``: write one log line.

4. Feed the hints as they arrive: ``TargetDraining``, ``TargetLeaving``,
   ``TargetGone``, ``TargetDown``, ``GuardCandidates``, ``MoveRequested``,
   ``MergeRequested``.

Targets, and the guards of targets without fencing, hold their grants in a
``GrantHolder``.
"""

from laburnumyard.core.ownership._balance_settings import BalanceSettings
from laburnumyard.core.ownership._chunks import (
    Chunk,
    assemble,
    split_assignment,
)
from laburnumyard.core.ownership._effects import (
    AssignmentChanged,
    Detail,
    Effect,
    LogDecision,
    OfferScope,
    PrepareChunks,
    ReadHead,
    SwapHead,
)
from laburnumyard.core.ownership._events import (
    Event,
    Leave,
    TakeOver,
    TargetAnswer,
    Tick,
)
from laburnumyard.core.ownership._grant_holder import GrantHolder, HolderAnswer
from laburnumyard.core.ownership._head import (
    Head,
    MalformedContent,
    Scope,
    Snapshot,
    decode_head,
    encode_head,
    needs_manager,
)
from laburnumyard.core.ownership._hints import (
    GuardCandidates,
    MergeRequested,
    MoveRequested,
    PlanChanged,
    TargetDown,
    TargetDraining,
    TargetGone,
    TargetLeaving,
)
from laburnumyard.core.ownership._lease_manager import LeaseManager
from laburnumyard.core.ownership._load_planner import LoadPlanner, PlanningRound
from laburnumyard.core.ownership._manager_settings import ManagerSettings
from laburnumyard.core.ownership._manager_state import Phase
from laburnumyard.core.ownership._placement import (
    initial_assignment,
)
from laburnumyard.core.ownership._ranges import (
    hash_range,
    owned_range,
    owner_of,
    ranges_by_target,
)
from laburnumyard.core.ownership._service_plan import (
    FencedTarget,
    GuardedTarget,
    KeyRangePlan,
    ServicePlan,
    needs_guard,
    service_plan,
)
from laburnumyard.core.ownership._store_events import (
    HeadRead,
    HeadUnreadable,
    SwapDone,
    SwapRefused,
    SwapUnknown,
)
from laburnumyard.core.ownership._target_messages import (
    SendGrant,
    SendRenew,
    SendSeal,
)
from laburnumyard.core.ownership._unused_chunks import StoredChunk, UnusedChunks

__all__ = (
    'AssignmentChanged',
    'BalanceSettings',
    'Chunk',
    'Detail',
    'Effect',
    'Event',
    'FencedTarget',
    'GrantHolder',
    'GuardCandidates',
    'GuardedTarget',
    'Head',
    'HeadRead',
    'HeadUnreadable',
    'HolderAnswer',
    'KeyRangePlan',
    'LeaseManager',
    'Leave',
    'LoadPlanner',
    'LogDecision',
    'MalformedContent',
    'ManagerSettings',
    'MergeRequested',
    'MoveRequested',
    'OfferScope',
    'Phase',
    'PlanChanged',
    'PlanningRound',
    'PrepareChunks',
    'ReadHead',
    'Scope',
    'SendGrant',
    'SendRenew',
    'SendSeal',
    'ServicePlan',
    'Snapshot',
    'StoredChunk',
    'SwapDone',
    'SwapHead',
    'SwapRefused',
    'SwapUnknown',
    'TakeOver',
    'TargetAnswer',
    'TargetDown',
    'TargetDraining',
    'TargetGone',
    'TargetLeaving',
    'Tick',
    'UnusedChunks',
    'assemble',
    'decode_head',
    'encode_head',
    'hash_range',
    'initial_assignment',
    'needs_guard',
    'needs_manager',
    'owned_range',
    'owner_of',
    'ranges_by_target',
    'service_plan',
    'split_assignment',
)
