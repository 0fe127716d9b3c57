"""The shell of one daemon in virtual time."""

from collections.abc import Callable
from functools import partial, singledispatchmethod
from random import Random
from time import perf_counter
from typing import Any

from bench.control.effects import perform
from bench.control.store import read_head
from laburnumyard.core import dissemination, membership
from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages

TICK_S = 0.1
# The least time between two words to the documents about live members.
PEERS_INTERVAL_S = 0.5


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

    def __init__(self, fleet: Any, identity: membership.Identity) -> None:
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
        self.table_take(membership.HeartbeatReceived(message))
        digest = message.documents
        self.documents_take(dissemination.DigestReceived(sender, digest))

    @take.register
    def _(self, message: messages.Gossip, sender: DaemonName) -> None:
        self.table_take(membership.GossipReceived(message.members))

    @take.register
    def _(self, message: messages.Members, sender: DaemonName) -> None:
        self.table_take(membership.MembersReceived(message.members))

    @take.register
    def _(self, message: messages.MemberDigests, sender: DaemonName) -> None:
        self.table_take(membership.DigestsReceived(sender, message))

    @take.register
    def _(self, message: messages.Versions, sender: DaemonName) -> None:
        self.documents_take(dissemination.VersionsReceived(sender, message))

    @take.register
    def _(self, message: messages.FetchDocument, sender: DaemonName) -> None:
        self.documents_take(dissemination.FetchReceived(sender, message))

    @take.register
    def _(self, message: messages.DocumentPart, sender: DaemonName) -> None:
        self.documents_take(dissemination.PartReceived(sender, message))
