"""Many daemons in virtual time: their member tables and documents."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from random import Random
from time import perf_counter

from bench.control.effects import perform
from bench.control.network import Clock, Network
from bench.control.store import FakeStore, read_head
from laburnumyard.core import dissemination, membership
from laburnumyard.core.ids import DaemonName, DataCentre, Incarnation, Region
from laburnumyard.schema._generated import messages
from laburnumyard.wire import DEFAULT_LINK_SETTINGS

TICK_S = 0.1
# How long a link without requests stays silent before it is replaced.
SILENT_S = (
    DEFAULT_LINK_SETTINGS.idle_probe_after_s
    + DEFAULT_LINK_SETTINGS.silent_after_s
    + 2 * DEFAULT_LINK_SETTINGS.sweep_interval_s
)
# The least time between two words to the documents about live members.
PEERS_INTERVAL_S = 0.5
CONFIG = dissemination.DocumentName('config')


@dataclass(frozen=True, slots=True)
class Adoption:
    """A version that came into force at a daemon.

    Parameters
    ----------
    time
        When, in seconds.
    incarnation
        In which life of the daemon.
    name
        Which document.
    version
        Its version.
    source
        How the daemon knew of it.
    """

    time: float
    incarnation: int
    name: dissemination.DocumentName
    version: int
    source: dissemination.Source


class Observer:
    """What an outsider notes, whatever the daemons believe.

    Attributes
    ----------
    adoptions
        What came into force at each daemon, in order.
    decisions
        The time, the daemon and the effect of each log line.
    """

    def __init__(self) -> None:
        """Start with nothing noted."""
        self.adoptions: dict[DaemonName, list[Adoption]] = {}
        self.decisions: list[tuple[float, DaemonName, object]] = []


class FakePlatform:
    """The list of VMs, and which VMs are really lost.

    Parameters
    ----------
    identities
        The daemons on the list.
    """

    def __init__(self, identities: tuple[membership.Identity, ...]) -> None:
        """Start with a list that is right."""
        self.listed = {one.daemon: one for one in identities}
        self.is_reachable = True
        self.lost: set[DaemonName] = set()


@dataclass(frozen=True, slots=True)
class Layout:
    """Where daemons run.

    Parameters
    ----------
    regions
        How many data centres each region has.
    daemons
        How many daemons there are, spread evenly.
    """

    regions: tuple[int, ...]
    daemons: int

    def identities(self) -> tuple[membership.Identity, ...]:
        """Return every daemon."""
        places = tuple(
            (f'region-{region}', f'centre-{region}-{centre}')
            for region, centres in enumerate(self.regions)
            for centre in range(centres)
        )
        return tuple(
            _identity(number, *places[number % len(places)])
            for number in range(self.daemons)
        )


def _identity(number: int, region: str, centre: str) -> membership.Identity:
    high, low = divmod(number, 250)
    return membership.Identity(
        DaemonName(f'entry-{number:03}'),
        DataCentre(centre),
        Region(region),
        f'10.0.{high}.{low}:7000',
        Incarnation(1),
    )


class Node:
    """The shell of one daemon.

    Parameters
    ----------
    fleet
        The daemons around it.
    identity
        Who it is.

    Attributes
    ----------
    is_running
        Whether the process lives.
    is_paused
        Whether the process is stopped for a while.
    busy_s
        The real processor time of its decisions, in seconds.
    handled
        How many events it took.
    """

    def __init__(self, fleet: 'Fleet', identity: membership.Identity) -> None:
        """Start a process that knows nobody."""
        self.fleet = fleet
        self.identity = identity
        draw = Random(f'{fleet.seed}/{identity}').random
        self.table = membership.MemberTable(
            identity,
            fleet.membership_settings,
            draw,
        )
        self.documents = dissemination.Documents(
            fleet.dissemination_settings,
            read_head,
            draw,
        )
        self.is_running = True
        self.is_paused = False
        self.inbox: list[Callable[[], None]] = []
        self.peers_version = -1
        self.peers_due_at = float(0)
        self.busy_s = float(0)
        self.handled = 0
        self.documents_take(dissemination.NamesChanged(fleet.names))
        fleet.clock.call_in(TICK_S * draw(), self.tick)

    def tick(self) -> None:
        """Let time pass for both, and again after the interval."""
        if not self.is_running:
            return
        if self.is_paused:
            self.inbox.append(self.tick)
            return
        self.fleet.clock.call_in(TICK_S, self.tick)
        self.table.state.documents_digest = self.documents.digest()
        self.table_take(membership.Tick())
        self.tell_peers()
        self.documents_take(dissemination.Tick())

    def tell_peers(self) -> None:
        """Tell the documents of the live members when they change."""
        directory = self.table.directory
        now = self.fleet.clock.now
        is_known = directory.version == self.peers_version
        if is_known or now < self.peers_due_at:
            return
        self.peers_due_at = now + PEERS_INTERVAL_S
        self.peers_version = directory.version
        me = self.identity
        near: list[DaemonName] = []
        far: list[DaemonName] = []
        for one in directory.live():
            if one.daemon != me.daemon:
                is_near = one.data_centre == me.data_centre
                (near if is_near else far).append(one.daemon)
        readers = directory.readers(me.data_centre)
        self.documents_take(
            dissemination.PeersChanged(
                tuple(near),
                tuple(far),
                readers,
                is_reader=me.daemon in readers,
            ),
        )

    def table_take(self, event: membership.Event) -> None:
        """Feed the member table and run its effects."""
        self.run(self.table.handle, event)

    def documents_take(self, event: object) -> None:
        """Feed the documents and run their effects."""
        self.run(self.documents.handle, event)

    def run(self, handle: Callable, event: object) -> None:
        """Measure one decision and run what it asks for."""
        started = perf_counter()
        effects = handle(event, self.fleet.clock.now)
        self.busy_s += perf_counter() - started
        self.handled += 1
        for effect in effects:
            perform(effect, self)

    def admits(self, sender: membership.Identity) -> bool:
        """Tell whether another daemon gets a link."""
        return self.table.admits(sender.daemon, sender.incarnation)

    def receive(
        self,
        sender: membership.Identity,
        message: messages.Message,
    ) -> None:
        """Take a message, now or after the pause."""
        if self.admits(sender):
            self.wake_or_wait(partial(self.take, message, sender.daemon))

    def wake_or_wait(self, work: Callable[[], None]) -> None:
        """Do something, now or after the pause."""
        if self.is_paused:
            self.inbox.append(work)
        elif self.is_running:
            work()

    @singledispatchmethod
    def take(self, message: messages.Message, sender: DaemonName) -> None:
        """Turn a message into its event."""
        raise TypeError(f'no message of control: {message!r}')

    @take.register
    def _(self, message: messages.Heartbeat, sender: DaemonName) -> None:
        self.table_take(membership.HeartbeatHeard(message))
        digest = message.documents
        self.documents_take(dissemination.DigestHeard(sender, digest))

    @take.register
    def _(self, message: messages.Gossip, sender: DaemonName) -> None:
        self.table_take(membership.GossipHeard(message.members))

    @take.register
    def _(self, message: messages.Members, sender: DaemonName) -> None:
        self.table_take(membership.MembersHeard(message.members))

    @take.register
    def _(self, message: messages.MemberDigests, sender: DaemonName) -> None:
        self.table_take(membership.DigestsHeard(sender, message))

    @take.register
    def _(self, message: messages.Versions, sender: DaemonName) -> None:
        self.documents_take(dissemination.VersionsHeard(sender, message))

    @take.register
    def _(self, message: messages.FetchDocument, sender: DaemonName) -> None:
        self.documents_take(dissemination.FetchHeard(sender, message))

    @take.register
    def _(self, message: messages.DocumentPart, sender: DaemonName) -> None:
        self.documents_take(dissemination.PartHeard(sender, message))


def _touches(
    daemon: DaemonName,
    source: membership.Identity,
    destination: membership.Identity,
) -> bool:
    return daemon in {source.daemon, destination.daemon}


class Fleet:
    """Many daemons, the network between them, the store and the VM list.

    Parameters
    ----------
    layout
        Where daemons run.
    seed
        Draws everything that is random.
    measures
        Whether bytes are counted.
    """

    def __init__(
        self,
        layout: Layout,
        seed: int,
        *,
        measures: bool = False,
    ) -> None:
        """Prepare the places; no daemon runs yet."""
        self.seed = seed
        self.membership_settings = membership.MembershipSettings()
        self.dissemination_settings = dissemination.DisseminationSettings()
        self.names: tuple[dissemination.DocumentName, ...] = (CONFIG,)
        self.clock = Clock()
        self.network = Network(self.clock, Random(seed), measures=measures)
        self.store = FakeStore(self.clock)
        self.identities = layout.identities()
        self.platform = FakePlatform(self.identities)
        self.nodes: dict[DaemonName, Node] = {}
        self.observer = Observer()
        self.dead_store = FakeStore(self.clock, is_down=True)
        self.cut_from_store: set[DaemonName] = set()

    def start(self, identity: membership.Identity) -> Node:
        """Start or restart the process of one daemon."""
        node = Node(self, identity)
        self.nodes[identity.daemon] = node
        self.platform.lost.discard(identity.daemon)
        return node

    def restart(self, daemon: DaemonName) -> Node:
        """Kill a process and start it again as a new incarnation."""
        self.kill(daemon)
        old = self.nodes[daemon].identity
        return self.start(
            membership.Identity(
                old.daemon,
                old.data_centre,
                old.region,
                old.address,
                Incarnation(old.incarnation + 1),
            ),
        )

    def start_all(self) -> None:
        """Start every daemon, knowing nobody."""
        for identity in self.identities:
            self.start(identity)

    def start_warm(self) -> None:
        """Start every daemon with a table that knows all others as live."""
        self.start_all()
        for node in self.nodes.values():
            self.introduce(node)

    def introduce(self, node: Node) -> None:
        """Have a daemon know all others as live."""
        state = node.table.state
        state.has_joined = True
        state.directory.is_listed = True
        state.schedule.vm_list = 1 + state.draw()
        for other in self.identities:
            if other.daemon != node.identity.daemon:
                state.members[other.daemon] = membership.Member(
                    other,
                    membership.MemberState.LIVE,
                    changed_at=0,
                    is_listed=True,
                )
        state.directory.note_change()

    def kill(self, daemon: DaemonName, *, with_vm: bool = False) -> None:
        """End a process; with its VM, even probes are not refused."""
        self.nodes[daemon].is_running = False
        if with_vm:
            self.platform.lost.add(daemon)

    def pause(self, daemon: DaemonName, seconds: float) -> None:
        """Stop a process for a while."""
        node = self.nodes[daemon]
        node.is_paused = True
        self.clock.call_in(seconds, partial(self.resume, node))

    def resume(self, node: Node) -> None:
        """Let a process go on with what has come meanwhile."""
        node.is_paused = False
        inbox = node.inbox
        node.inbox = []
        for work in inbox:
            node.wake_or_wait(work)

    def lose_track(self, daemon: DaemonName) -> None:
        """Let all connections of a daemon go silent until they are replaced.

        The links replace them after `SILENT_S`; one with a request on it far
        sooner.
        """

        def cut(
            source: membership.Identity, there: membership.Identity
        ) -> bool:
            return daemon in {source.daemon, there.daemon}

        self.network.cuts.append(cut)
        self.clock.call_in(SILENT_S, partial(self.network.cuts.remove, cut))

    def running(self) -> Iterable[Node]:
        """Return the daemons that run."""
        return [node for node in self.nodes.values() if node.is_running]

    def store_for(self, node: Node) -> FakeStore:
        """Return the store as a daemon sees it."""
        is_cut = node.identity.daemon in self.cut_from_store
        return self.dead_store if is_cut else self.store

    def note_adoption(self, node: Node, adopted: dissemination.Adopt) -> None:
        """Remember what came into force where, for the observer."""
        document = adopted.document
        adoption = Adoption(
            self.clock.now,
            node.identity.incarnation,
            document.name,
            document.version,
            adopted.source,
        )
        self.observer.adoptions.setdefault(node.identity.daemon, []).append(
            adoption
        )

    def in_force(
        self,
        name: dissemination.DocumentName = CONFIG,
    ) -> dict[DaemonName, int]:
        """Return what is in force at each running daemon; 0 for nothing."""
        found: dict[DaemonName, int] = {}
        for node in self.running():
            document = node.documents.find(name)
            found[node.identity.daemon] = document.version if document else 0
        return found
