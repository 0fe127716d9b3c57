"""Cluster membership: liveness, announced departures and role assignment.

The package performs no input or output. The caller owns one `MemberTable` and
passes it a `Tick` about every 0.1 s, the matching event for each received
`Heartbeat`, `Gossip`, `Members` and `MemberDigests` message,
`ManagedScopesChanged` when the scopes managed by this daemon change, and the
outcome of each `Probe` and `ReadVmList`. A probe is ``pool.request(peer,
Ping)``; any reply from a peer may be passed as `ProbeAnswered`, at most once a
second. `LinkLost` reports a broken link to a peer believed live. The caller
executes the returned effects in order: `SendHeartbeat` and `Send` by
``pool.send``, to ``table.address_of(daemon)``.

``table.admits`` accepts or rejects the hello of each incoming link. The caller
sets ``table.state.documents_digest`` from the documents. It stops participating
when ``table.state.is_superseded``, and takes no role while
``table.state.is_stale``, because its view is as old as the pause.
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
    DigestsReceived,
    Event,
    GossipReceived,
    HeartbeatReceived,
    LinkLost,
    MembersReceived,
    ProbeAnswered,
    ProbeFailed,
)
from laburnumyard.core.membership._local_events import (
    HelloReceived,
    Leave,
    ListedVm,
    ManagedScopesChanged,
    Scope,
    Tick,
    VmListRead,
    VmListUnavailable,
)
from laburnumyard.core.membership._member import (
    UNKNOWN_INCARNATION,
    Identity,
    Member,
    MemberState,
)
from laburnumyard.core.membership._settings import MembershipSettings
from laburnumyard.core.membership._table import MemberTable

__all__ = (
    'UNKNOWN_INCARNATION',
    'Decision',
    'DigestsReceived',
    'Effect',
    'Event',
    'GossipReceived',
    'HeartbeatReceived',
    'HelloReceived',
    'Identity',
    'Leave',
    'LinkLost',
    'ListedVm',
    'LogDecision',
    'ManagedScopesChanged',
    'Member',
    'MemberState',
    'MemberTable',
    'MembersReceived',
    'MembershipSettings',
    'Probe',
    'ProbeAnswered',
    'ProbeFailed',
    'ReadVmList',
    'Scope',
    'Send',
    'SendHeartbeat',
    'Tick',
    'VmListRead',
    'VmListUnavailable',
)
