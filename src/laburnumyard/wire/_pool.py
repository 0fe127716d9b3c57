"""Pool of links to other daemons: one per peer, opened on demand."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._outgoing import OutgoingLink, ResponseResult
from laburnumyard.wire._settings import DEFAULT_LINK_SETTINGS, LinkSettings
from laburnumyard.wire._writer import Sent

# Errors after which the peer may have failed.
LOST_PEER_KINDS = frozenset((LinkErrorKind.BROKEN, LinkErrorKind.SILENT))
# Keeps the exponential backoff within the range of a float.
MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Peer:
    """Another daemon and its address.

    Parameters
    ----------
    daemon
        Its name; a link to a daemon of another name is rejected.
    address
        ``IP:PORT`` of its link server.
    incarnation
        Its incarnation; None if unknown.
    """

    daemon: DaemonName
    address: str
    incarnation: Incarnation | None = None


@dataclass(slots=True)
class _Slot:
    """The link to one peer and its state of backoff."""

    peer: Peer
    link: OutgoingLink | None = None
    failures: int = 0
    retry_at: float = 0


class LinkPool:
    """Sends messages to other daemons.

    Parameters
    ----------
    identity
        The hello message of this daemon.
    settings
        Limits and intervals of links.
    random_fraction
        Returns a random number from 0 to 1, for the jitter of the backoff.

    Examples
    --------
    ``async with LinkPool(hello) as pool: pool.send(peer, message)``
    """

    def __init__(
        self,
        identity: messages.Hello,
        settings: LinkSettings = DEFAULT_LINK_SETTINGS,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        """Create an empty pool; links are opened on demand."""
        self.identity = identity
        self.settings = settings
        self.random_fraction = random_fraction
        self.slots: dict[DaemonName, _Slot] = {}
        self.dropped_answers = 0
        # Called with the peer when a link on which it had responded is lost.
        self.on_lost: list[Callable[[DaemonName], None]] = []

    async def __aenter__(self) -> 'LinkPool':
        """Start the periodic check of the links."""
        self.loop = asyncio.get_running_loop()
        self.sweeper = self.loop.create_task(self.sweep())
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close every link."""
        self.sweeper.cancel()
        for daemon in tuple(self.slots):
            self.forget(daemon)

    @property
    def held_bytes(self) -> int:
        """Bytes of frames that the links hold."""
        links = (slot.link for slot in self.slots.values())
        return sum(link.held_bytes for link in links if link is not None)

    def send(self, peer: Peer, message: messages.Message) -> Sent:
        """Queue a message without waiting; no response is expected.

        Parameters
        ----------
        peer
            The receiving daemon.
        message
            Any message except a hello.

        Returns
        -------
        Result
            None, or the reason why the message was not queued. A queued
            message may still be lost if the link closes.
        """
        link = self.link_to(peer)
        return link.send(message) if link else Error(_backoff_error(peer))

    async def request(
        self,
        peer: Peer,
        message: messages.Message,
        timeout_s: float,
    ) -> ResponseResult:
        """Send a request and wait for the response with its number.

        Parameters
        ----------
        peer
            The receiving daemon.
        message
            A message with a number, which the pool replaces by its own.
        timeout_s
            Deadline for the response, in seconds.

        Returns
        -------
        Result
            The response, or the error, which tells whether the message may
            have been sent. An abandoned request is removed from the queue,
            or cancelled at the peer if it was sent.
        """
        link = self.link_to(peer)
        if link is None:
            return Error(_backoff_error(peer))
        pending = link.send_request(message)
        timer = self.loop.call_later(timeout_s, link.expire, pending)
        try:
            return await pending.answer
        finally:
            timer.cancel()
            link.abandon(pending)

    def forget(self, daemon: DaemonName) -> None:
        """Close the link to a daemon and remove its state."""
        slot = self.slots.pop(daemon, None)
        if slot and slot.link:
            slot.link.close(
                LinkErrorKind.CLOSED, 'the peer was removed from the pool'
            )

    def link_to(self, peer: Peer) -> OutgoingLink | None:
        """Return a link to a peer, opening one if needed; None in backoff."""
        slot = self.slots.get(peer.daemon)
        if slot is None or not _matches_peer(slot, peer):
            self.forget(peer.daemon)
            slot = _Slot(peer)
            self.slots[peer.daemon] = slot
        if slot.link is None and self.loop.time() >= slot.retry_at:
            # The expected incarnation may have changed during the backoff.
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
        """Start connecting; messages are queued until the link is ready."""
        link = OutgoingLink(self.identity, self.settings, slot.peer)
        link.on_closed.append(lambda _: self.handle_link_closed(slot, link))
        link.start()
        return link

    def handle_link_closed(self, slot: _Slot, link: OutgoingLink) -> None:
        """Apply exponential backoff with jitter after consecutive failures.

        A peer that sends a hello and closes without any response counts as a
        refusal.
        """
        if slot.link is not link:
            return
        slot.link = None
        self.dropped_answers += link.dropped_answers
        if (
            link.has_received_response
            or link.closed_by.kind is LinkErrorKind.IDLE
        ):
            slot.failures = 0
            slot.retry_at = self.loop.time()
            if link.closed_by.kind in LOST_PEER_KINDS:
                self.report_lost(slot.peer.daemon)
            return
        slot.failures += 1
        pause = self.settings.backoff_first_s * 2 ** min(
            slot.failures, MAX_DOUBLINGS
        )
        pause = min(pause, self.settings.backoff_max_s)
        slot.retry_at = (
            self.loop.time() + pause * (1 + self.random_fraction()) / 2
        )

    def report_lost(self, daemon: DaemonName) -> None:
        """Call the callbacks for a lost link to a peer."""
        for callback in self.on_lost:
            callback(daemon)

    async def sweep(self) -> None:
        """Check all links periodically."""
        while True:
            await asyncio.sleep(self.settings.sweep_interval_s)
            now = self.loop.time()
            for daemon, slot in tuple(self.slots.items()):
                if slot.link:
                    slot.link.check(now)
                elif now - slot.retry_at >= self.settings.forget_after_s:
                    self.forget(daemon)


def _matches_peer(slot: _Slot, peer: Peer) -> bool:
    """Return whether a pooled link is to the expected process."""
    if slot.peer.address != peer.address:
        return False
    wanted = peer.incarnation
    remote = slot.link.remote if slot.link else None
    if wanted is None or remote is None:
        return wanted in {None, slot.peer.incarnation}
    return remote.incarnation == wanted


def _backoff_error(peer: Peer) -> LinkError:
    return LinkError(
        LinkErrorKind.BACKING_OFF,
        f'{peer.daemon} at {peer.address} failed recently; retry later',
    )
