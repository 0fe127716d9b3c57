"""One TCP connection between two daemons: frames, queue and hello."""

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
from laburnumyard.wire._queue import Outgoing
from laburnumyard.wire._settings import LinkSettings
from laburnumyard.wire._writer import FrameWriter, Sent


class Connection(asyncio.Protocol):
    """What both ends of a link do alike.

    Parameters
    ----------
    identity
        The hello of this daemon.
    settings
        Bounds and intervals.

    Attributes
    ----------
    remote
        The hello of the other end, or None before it came.
    closed_by
        Why the link was closed, or None while it is open.
    on_closed
        Called with the link once, after it has closed.
    """

    def __init__(
        self,
        identity: messages.Hello,
        settings: LinkSettings,
    ) -> None:
        """Start without a socket; frames wait in the queue until then."""
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
            Any message but a hello.

        Returns
        -------
        Result
            Nothing, or why the message was not queued.
        """
        return self.put(message, Outgoing(encode_frame(message)))

    def put(self, message: messages.Message, outgoing: Outgoing) -> Sent:
        """Queue the frame of a message, unless the link is closed."""
        if self.closed_by:
            return Error(self.closed_by)
        return self.writer.put(message, outgoing)

    def close(self, kind: LinkErrorKind, detail: str = '') -> None:
        """Close the link for good; later calls change nothing."""
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
        """Ping a quiet link, and close one that stays silent.

        Parameters
        ----------
        now
            The time of the loop, in seconds.
        probe_after_s
            The silence before a ping, in seconds.
        """
        if self.pinged_at is None:
            if now - self.received_at >= probe_after_s:
                self.pinged_at = now
                self.send(messages.Ping(number=0))
        elif now - self.pinged_at >= self.settings.silent_after_s:
            quiet = now - self.received_at
            self.close(LinkErrorKind.SILENT, f'nothing came for {quiet:.3f} s')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say hello first."""
        if self.closed_by:
            transport.abort()
            return
        self.transport = transport
        transport.write(encode_frame(self.identity))

    def pause_writing(self) -> None:
        """Keep frames in the queue while the socket takes no more."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Go on writing."""
        if self.remote and not self.closed_by:
            self.writer.resume(self.transport)

    def data_received(self, data: bytes) -> None:
        """Take the messages that have arrived; close at the first bad one."""
        self.received_at = self.loop.time()
        self.pinged_at = None
        try:
            for envelope in self.reader.feed(data):
                self.take(decode_envelope(envelope))
        except FrameError as error:
            self.close(error.kind, error.detail)

    def take(self, message: messages.Message) -> None:
        """Hand one message on; the first one has to be the hello."""
        if self.closed_by:
            return
        if self.remote is None:
            self.take_hello(message)
        elif isinstance(message, messages.Ping):
            self.send(messages.Pong(number=message.number))
        else:
            self.handle(message)

    def take_hello(self, message: messages.Message) -> None:
        """Check who is at the other end and start to write.

        Raises
        ------
        FrameError
            If the message is no hello, or from the wrong daemon.
        """
        if not isinstance(message, messages.Hello):
            raise FrameError(
                LinkErrorKind.UNEXPECTED_MESSAGE,
                f'{type(message).__name__} came before the hello',
            )
        self.check_hello(message)
        self.remote = message
        self.writer.resume(self.transport)

    def check_hello(self, hello: messages.Hello) -> None:
        """Refuse the wrong daemon by a FrameError."""
        raise NotImplementedError

    def handle(self, message: messages.Message) -> None:
        """Take a message that is not the link's own."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Note why the socket has closed."""
        try:
            self.reader.finish()
        except FrameError as error:
            self.close(error.kind, error.detail)
        self.close(LinkErrorKind.BROKEN, str(exc or 'closed by the peer'))
