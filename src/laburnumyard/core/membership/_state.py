"""Everything that the member table remembers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._directory import Directory
from laburnumyard.core.membership._effects import Effect
from laburnumyard.core.membership._inputs import Scope
from laburnumyard.core.membership._member import Identity, Member
from laburnumyard.core.membership._rumours import Rumours
from laburnumyard.core.membership._settings import MembershipSettings
from laburnumyard.core.membership._watches import Watches


@dataclass(slots=True)
class Schedule:
    """When each thing is due next, in seconds.

    Attributes
    ----------
    sync_pause_s
        The pause before the next comparison of tables.
    listed_rows
        How many VMs the platform's list named when it was last read.
    """

    deputies: float = 0
    watchers: float = 0
    probe: float = 0
    scan: float = 0
    sync: float = 0
    sync_pause_s: float = 0
    vm_list: float = 0
    listed_rows: int = 0
    cleaning: float = 0


@dataclass(slots=True)
class TableState:
    """Everything that the member table remembers.

    Parameters
    ----------
    settings
        Intervals and bounds.
    draw
        Returns a random number from 0 up to 1.
    directory
        All members and the answers that follow from their states.
    watches
        The members whose heartbeats this daemon waits for.
    rumours
        The news that it passes on.
    suspects
        The members that are suspected.
    scopes
        What this daemon's lease managers manage.
    refutation
        How often this daemon has refuted a suspicion of itself.
    sequence
        The number of its last heartbeat.
    documents_digest
        What its heartbeats say of its documents.
    has_joined
        Whether the table has been compared with that of another daemon.
    started_at
        The time of the first tick, in seconds, or None before it.
    is_superseded
        Whether a newer incarnation of this daemon's name runs.
    is_stale
        Whether the process was paused and nobody has answered it since.
    now
        The time of the event that is taken, in seconds.
    ticked_at
        The time of the last tick, in seconds, or None before it.
    heard_anyone_at
        When anyone was last heard, in seconds, or None.
    effects
        What the shell has to do.
    """

    settings: MembershipSettings
    draw: Callable[[], float]
    directory: Directory
    watches: Watches
    rumours: Rumours
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
    heard_anyone_at: float | None = None
    effects: list[Effect] = field(default_factory=list)

    @property
    def myself(self) -> Identity:
        """The daemon that keeps the table."""
        return self.directory.myself

    @property
    def members(self) -> dict[DaemonName, Member]:
        """The other members by name, the gone ones included."""
        return self.directory.members


def new_state(
    identity: Identity,
    settings: MembershipSettings,
    draw: Callable[[], float],
) -> TableState:
    """Return the state of a daemon that knows nobody."""
    return TableState(
        settings,
        draw,
        Directory(identity),
        Watches(settings),
        Rumours(settings, draw),
    )
