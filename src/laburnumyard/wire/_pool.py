"""Links to other daemons: one kept link per peer, opened on demand."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._outgoing import Answered, OutgoingLink
from laburnumyard.wire._settings import DEFAULT_LINK_SETTINGS, LinkSettings
from laburnumyard.wire._writer import Sent

# Ways in which a link ends that may be the end of the peer.
LOST_KINDS = frozenset((LinkErrorKind.BROKEN, LinkErrorKind.SILENT))
# Keeps the power of two within a float.
MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Peer:
    """Another daemon and where it listens.

    Parameters
    ----------
    daemon
        Its name; a link to another one is refused.
    address
        The IP number and the port.
    incarnation
        Its incarnation, or None where it is not known yet.
    """

    daemon: DaemonName
    address: str
    incarnation: Incarnation | None = None


@dataclass(slots=True)
class _Slot:
    """The link to one peer and the failures before it."""

    peer: Peer
    link: OutgoingLink | None = None
    failures: int = 0
    retry_at: float = 0


class LinkPool:
    """Sends messages to other daemons.

    Parameters
    ----------
    identity
        The hello of this daemon.
    settings
        Bounds and intervals.
    draw
        Returns a random number from 0 to 1, for the jitter of the backoff.

    Examples
    --------
    ``async with LinkPool(hello) as pool: pool.send(peer, message)``
    """

    def __init__(
        self,
        identity: messages.Hello,
        settings: LinkSettings = DEFAULT_LINK_SETTINGS,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Prepare; links are opened on demand."""
        self.identity = identity
        self.settings = settings
        self.draw = draw
        self.slots: dict[DaemonName, _Slot] = {}
        self.dropped_answers = 0
        # Called with a peer that had answered on the link that was lost.
        self.on_lost: list[Callable[[DaemonName], None]] = []

    async def __aenter__(self) -> 'LinkPool':
        """Start to watch over the links."""
        self.loop = asyncio.get_running_loop()
        self.sweeper = self.loop.create_task(self.sweep())
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close every link."""
        self.sweeper.cancel()
        for daemon in tuple(self.slots):
            self.forget(daemon)

    def send(self, peer: Peer, message: messages.Message) -> Sent:
        """Queue a message without waiting, and without an answer.

        Parameters
        ----------
        peer
            The daemon to send it to.
        message
            Any message but a hello.

        Returns
        -------
        Result
            Nothing, or why the message was not queued. A message that was
            queued may still be lost with its link.
        """
        link = self.link_to(peer)
        return link.send(message) if link else Error(_backing_off(peer))

    async def request(
        self,
        peer: Peer,
        message: messages.Message,
        timeout_s: float,
    ) -> Answered:
        """Send a message and wait for the answer with its number.

        Parameters
        ----------
        peer
            The daemon to send it to.
        message
            A message with a number; the pool puts in a number of its own.
        timeout_s
            The longest wait, in seconds.

        Returns
        -------
        Result
            The answer, or the error, which tells whether the message may
            have left. A request that nobody waits for any more is withdrawn
            from the queue, or cancelled at the peer if it has left.
        """
        link = self.link_to(peer)
        if link is None:
            return Error(_backing_off(peer))
        pending = link.ask(message)
        timer = self.loop.call_later(timeout_s, link.expire, pending)
        try:
            return await pending.answer
        finally:
            timer.cancel()
            link.give_up(pending)

    def forget(self, daemon: DaemonName) -> None:
        """Close the link to a daemon that is gone."""
        slot = self.slots.pop(daemon, None)
        if slot and slot.link:
            slot.link.close(LinkErrorKind.CLOSED, 'the peer is forgotten')

    def link_to(self, peer: Peer) -> OutgoingLink | None:
        """Return the link to a peer, opening it; None while backing off."""
        slot = self.slots.get(peer.daemon)
        if slot is None or not _serves(slot, peer):
            self.forget(peer.daemon)
            slot = _Slot(peer)
            self.slots[peer.daemon] = slot
        if slot.link is None and self.loop.time() >= slot.retry_at:
            # Which incarnation is wanted may have changed in the backoff.
            slot.peer = peer
            slot.link = self.open(slot)
        return slot.link

    def incarnation_of(self, daemon: DaemonName) -> Incarnation | None:
        """Return the incarnation in the hello of an open link, if any."""
        slot = self.slots.get(daemon)
        if slot is None or slot.link is None or slot.link.remote is None:
            return None
        return Incarnation(slot.link.remote.incarnation)

    def open(self, slot: _Slot) -> OutgoingLink:
        """Start to connect; messages wait in the queue of the link."""
        link = OutgoingLink(self.identity, self.settings, slot.peer)
        link.on_closed.append(lambda _: self.note_closed(slot, link))
        link.start()
        return link

    def note_closed(self, slot: _Slot, link: OutgoingLink) -> None:
        """Wait longer after each failure in a row, with jitter.

        A peer that says hello and closes before any answer has refused.
        """
        if slot.link is not link:
            return
        slot.link = None
        self.dropped_answers += link.dropped_answers
        if link.has_heard or link.closed_by.kind is LinkErrorKind.IDLE:
            slot.failures = 0
            slot.retry_at = self.loop.time()
            if link.closed_by.kind in LOST_KINDS:
                self.note_lost(slot.peer.daemon)
            return
        slot.failures += 1
        pause = self.settings.backoff_first_s * 2 ** min(
            slot.failures, MAX_DOUBLINGS
        )
        pause = min(pause, self.settings.backoff_max_s)
        slot.retry_at = self.loop.time() + pause * (1 + self.draw()) / 2

    def note_lost(self, daemon: DaemonName) -> None:
        """Tell that the link to a peer has broken."""
        for tell in self.on_lost:
            tell(daemon)

    async def sweep(self) -> None:
        """Check the links now and then."""
        while True:
            await asyncio.sleep(self.settings.sweep_interval_s)
            now = self.loop.time()
            for daemon, slot in tuple(self.slots.items()):
                if slot.link:
                    slot.link.check(now)
                elif now - slot.retry_at >= self.settings.forget_after_s:
                    self.forget(daemon)


def _serves(slot: _Slot, peer: Peer) -> bool:
    """Tell whether a kept link leads to the wanted process."""
    if slot.peer.address != peer.address:
        return False
    wanted = peer.incarnation
    remote = slot.link.remote if slot.link else None
    if wanted is None or remote is None:
        return wanted in {None, slot.peer.incarnation}
    return remote.incarnation == wanted


def _backing_off(peer: Peer) -> LinkError:
    return LinkError(
        LinkErrorKind.BACKING_OFF,
        f'{peer.daemon} at {peer.address} was not reached a moment ago',
    )
