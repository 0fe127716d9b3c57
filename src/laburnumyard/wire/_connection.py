"""TCP connection between two daemons: framing, send queue, handshake."""

import asyncio
from collections.abc import Callable

from expression import Error
from loguru import logger

from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._framing import (
    FrameError,
    FrameReader,
    decode_envelope,
    encode_frame,
)
from laburnumyard.wire._queue import OutgoingFrame
from laburnumyard.wire._settings import LinkSettings
from laburnumyard.wire._writer import FrameWriter, Sent


class Connection(asyncio.Protocol):
    """Behaviour common to both ends of a link.

    Parameters
    ----------
    identity
        The hello message of this daemon.
    settings
        Limits and intervals of links.

    Attributes
    ----------
    remote
        The hello message of the peer; None before it has arrived.
    closed_by
        The reason of the closing; None while the link is open.
    on_closed
        Callbacks that get the link once, after it has closed.
    """

    def __init__(
        self,
        identity: messages.Hello,
        settings: LinkSettings,
    ) -> None:
        """Start unconnected; frames are queued until the handshake is done."""
        self.loop = asyncio.get_running_loop()
        self.identity = identity
        self.settings = settings
        self.writer = FrameWriter(self.loop, settings)
        self.reader = FrameReader(settings.frame_bytes)
        self.transport: asyncio.Transport | None = None
        self.remote: messages.Hello | None = None
        self.closed_by: LinkError | None = None
        self.on_closed: list[Callable[[Connection], None]] = []
        self.received_at = self.loop.time()
        self.pinged_at: float | None = None

    def send(self, message: messages.Message) -> Sent:
        """Queue a message without waiting.

        Parameters
        ----------
        message
            Any message except a hello.

        Returns
        -------
        Result
            None, or the reason why the message was not queued.
        """
        return self.put(message, OutgoingFrame(encode_frame(message)))

    def put(self, message: messages.Message, outgoing: OutgoingFrame) -> Sent:
        """Queue the frame of a message, unless the link is closed."""
        if self.closed_by:
            return Error(self.closed_by)
        return self.writer.put(message, outgoing)

    def close(self, kind: LinkErrorKind, detail: str = '') -> None:
        """Close the link permanently; further calls have no effect."""
        if self.closed_by:
            return
        self.closed_by = LinkError(kind, detail)
        self.writer.pause()
        if self.transport:
            self.transport.abort()
        logger.info(
            'event=link-closed peer={} kind={} detail={!r}',
            self.remote.daemon if self.remote else 'unknown',
            kind.value,
            detail,
        )
        for callback in self.on_closed:
            callback(self)

    def check_alive(self, now: float, probe_after_s: float) -> None:
        """Ping an inactive link; close it if the peer does not respond.

        Parameters
        ----------
        now
            The time of the event loop, in seconds.
        probe_after_s
            Time without received data before a ping, in seconds.
        """
        if self.pinged_at is None:
            if now - self.received_at >= probe_after_s:
                self.pinged_at = now
                self.send(messages.Ping(number=0))
        elif now - self.pinged_at >= self.settings.silent_after_s:
            quiet = now - self.received_at
            self.close(LinkErrorKind.SILENT, f'no data for {quiet:.3f} s')

    @property
    def held_bytes(self) -> int:
        """Bytes of frames that are not sent, or not received whole."""
        return len(self.reader.buffer) + self.writer.queue.waiting_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello, which must be the first message."""
        if self.closed_by:
            transport.abort()
            return
        self.transport = transport
        transport.write(encode_frame(self.identity))

    def pause_writing(self) -> None:
        """Hold frames in the queue while the socket buffer is full."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Resume writing if the handshake is done and the link is open."""
        if self.remote and not self.closed_by:
            self.writer.resume(self.transport)

    def data_received(self, data: bytes) -> None:
        """Process received messages; close the link on an invalid one."""
        self.received_at = self.loop.time()
        self.pinged_at = None
        try:
            for envelope in self.reader.feed(data):
                self.take(decode_envelope(envelope))
        except FrameError as error:
            self.close(error.kind, error.detail)

    def take(self, message: messages.Message) -> None:
        """Dispatch a message; the first one must be a hello."""
        if self.closed_by:
            return
        if self.remote is None:
            self.take_hello(message)
        elif isinstance(message, messages.Ping):
            self.send(messages.Pong(number=message.number))
        else:
            self.handle(message)

    def take_hello(self, message: messages.Message) -> None:
        """Validate the peer from its hello and start writing.

        Raises
        ------
        FrameError
            If the message is not a hello, or the daemon is not expected.
        """
        if not isinstance(message, messages.Hello):
            raise FrameError(
                LinkErrorKind.UNEXPECTED_MESSAGE,
                f'{type(message).__name__} arrived before the hello',
            )
        self.check_hello(message)
        self.remote = message
        self.writer.resume(self.transport)

    def check_hello(self, hello: messages.Hello) -> None:
        """Raise a FrameError if the peer is not the expected daemon."""
        raise NotImplementedError

    def handle(self, message: messages.Message) -> None:
        """Process a message other than a hello or a ping."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the link with the reason why the socket closed."""
        try:
            self.reader.finish()
        except FrameError as error:
            self.close(error.kind, error.detail)
        self.close(LinkErrorKind.BROKEN, str(exc or 'closed by the peer'))
