"""Many daemons in virtual time: their member tables and documents."""

from collections.abc import Iterable
from functools import partial
from random import Random

from bench.control.layout import Adoption, FakePlatform, Layout, Observer
from bench.control.network import Clock, Network
from bench.control.node import Node
from bench.control.store import FakeStore
from laburnumyard.core import dissemination, membership
from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.wire import DEFAULT_LINK_SETTINGS

# How long a link without requests stays silent before it is replaced.
SILENT_S = (
    DEFAULT_LINK_SETTINGS.idle_probe_after_s
    + DEFAULT_LINK_SETTINGS.silent_after_s
    + 2 * DEFAULT_LINK_SETTINGS.sweep_interval_s
)
CONFIG = dissemination.DocumentName('config')


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
        cut = partial(_touches, daemon)
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
