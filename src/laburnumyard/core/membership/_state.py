"""State of the member table."""

from collections.abc import Callable
from dataclasses import dataclass, field

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._directory import Directory
from laburnumyard.core.membership._effects import Effect
from laburnumyard.core.membership._failure_detector import FailureDetector
from laburnumyard.core.membership._gossip_queue import GossipQueue
from laburnumyard.core.membership._local_events import Scope
from laburnumyard.core.membership._member import Identity, Member
from laburnumyard.core.membership._settings import MembershipSettings


@dataclass(slots=True)
class Schedule:
    """Next due time of each periodic task, in seconds.

    Attributes
    ----------
    sync_pause_s
        The pause before the next comparison of tables, in seconds.
    listed_rows
        Number of VMs on the platform's list when it was last read.
    """

    deputies: float = 0
    watchers: float = 0
    probe: float = 0
    random_probe: float = 0
    sync: float = 0
    sync_pause_s: float = 0
    vm_list: float = 0
    listed_rows: int = 0
    cleanup: float = 0


@dataclass(slots=True)
class TableState:
    """State of the member table.

    Parameters
    ----------
    settings
        Intervals and bounds.
    draw
        Returns a random number in [0, 1).
    directory
        Members by name, with cached queries.
    failure_detector
        The members whose heartbeats this daemon monitors.
    gossip_queue
        The records that it gossips.
    suspects
        The suspected members by name.
    scopes
        The scopes that this daemon manages.
    refutation
        Number of suspicions of itself that this daemon has refuted.
    sequence
        The sequence number of its last heartbeat.
    documents_digest
        The digest of its documents that its heartbeats carry.
    has_joined
        Whether the table has been compared with that of a peer.
    started_at
        The time of the first tick, in seconds, or None before it.
    is_superseded
        Whether a newer incarnation of this daemon exists.
    is_stale
        Whether the process was paused and no peer has answered a probe since.
    now
        The time of the current event, in seconds.
    ticked_at
        The time of the last tick, in seconds, or None before it.
    last_contact_at
        The time of the last message from any peer, in seconds, or None.
    effects
        The effects that the current event requests.
    """

    settings: MembershipSettings
    draw: Callable[[], float]
    directory: Directory
    failure_detector: FailureDetector
    gossip_queue: GossipQueue
    schedule: Schedule = field(default_factory=Schedule)
    suspects: dict[DaemonName, Member] = field(default_factory=dict)
    scopes: tuple[Scope, ...] = ()
    refutation: int = 0
    sequence: int = 0
    documents_digest: int = 0
    has_joined: bool = False
    started_at: float | None = None
    is_superseded: bool = False
    is_stale: bool = False
    now: float = 0
    ticked_at: float | None = None
    last_contact_at: float | None = None
    effects: list[Effect] = field(default_factory=list)

    @property
    def local_identity(self) -> Identity:
        """The daemon that owns the table."""
        return self.directory.local_identity

    @property
    def members(self) -> dict[DaemonName, Member]:
        """The other members by name, including gone ones."""
        return self.directory.members


def new_state(
    identity: Identity,
    settings: MembershipSettings,
    draw: Callable[[], float],
) -> TableState:
    """Return the initial state, without members."""
    return TableState(
        settings,
        draw,
        Directory(identity),
        FailureDetector(settings),
        GossipQueue(settings, draw),
    )
