"""Membership: who is live, who leaves, and who takes which role.

A shell keeps one `MemberTable`. It feeds `Tick` about every 0.1 s, each
`Heartbeat`, `Gossip`, `Members` and `MemberDigests` message as the event of
that kind, `ScopesHeld` when this daemon's lease managers change, and the
outcome of each `Probe` and `ReadVmList`. A probe is ``pool.request(peer,
Ping)``; any answer of a peer may be fed as `ProbeAnswered`, at most once a
second. `LinkLost` is for a link that broke while the peer was thought live. It
runs the effects in order: `SendHeartbeat` and `Send` by ``pool.send``, to
``table.address_of(daemon)``.

``table.admits`` decides about the hello of each incoming link. The shell sets
``table.state.documents_digest`` from the documents. It stops taking part when
``table.state.is_superseded``, and takes no role while ``table.state.is_stale``:
its view is as old as the pause.
"""

from laburnumyard.core.membership._effects import (
    Decision,
    Effect,
    LogDecision,
    Probe,
    ReadVmList,
    Send,
    SendHeartbeat,
)
from laburnumyard.core.membership._events import (
    DigestsHeard,
    Event,
    GossipHeard,
    HeartbeatHeard,
    LinkLost,
    MembersHeard,
    ProbeAnswered,
    ProbeFailed,
)
from laburnumyard.core.membership._inputs import (
    HelloHeard,
    Leave,
    ListedVm,
    Scope,
    ScopesHeld,
    Tick,
    VmListRead,
    VmListUnavailable,
)
from laburnumyard.core.membership._member import (
    UNHEARD,
    Identity,
    Member,
    MemberState,
)
from laburnumyard.core.membership._settings import MembershipSettings
from laburnumyard.core.membership._table import MemberTable

__all__ = (
    'UNHEARD',
    'Decision',
    'DigestsHeard',
    'Effect',
    'Event',
    'GossipHeard',
    'HeartbeatHeard',
    'HelloHeard',
    'Identity',
    'Leave',
    'LinkLost',
    'ListedVm',
    'LogDecision',
    'Member',
    'MemberState',
    'MemberTable',
    'MembersHeard',
    'MembershipSettings',
    'Probe',
    'ProbeAnswered',
    'ProbeFailed',
    'ReadVmList',
    'Scope',
    'ScopesHeld',
    'Send',
    'SendHeartbeat',
    'Tick',
    'VmListRead',
    'VmListUnavailable',
)
