"""Batches the queued frames of a link into few writes."""

import asyncio

from expression import Error, Result

from laburnumyard.core.fast_results import ok
from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._queue import OutgoingFrame, SendQueue
from laburnumyard.wire._settings import LinkSettings

Sent = Result[None, LinkError]


class FrameWriter:
    """Writes frames to a socket, at most once per event loop iteration.

    Parameters
    ----------
    loop
        The event loop that runs the link.
    settings
        Limits and intervals of links.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: LinkSettings,
    ) -> None:
        """Start without a socket; frames are queued until it exists."""
        self.loop = loop
        self.frame_bytes = settings.frame_bytes
        self.queue = SendQueue(settings)
        self.transport: asyncio.Transport | None = None
        self.is_flush_scheduled = False

    def put(self, message: messages.Message, outgoing: OutgoingFrame) -> Sent:
        """Queue the frame of a message without waiting."""
        size = len(outgoing.frame)
        if size > self.frame_bytes:
            return Error(
                LinkError(
                    LinkErrorKind.OVERSIZE_FRAME,
                    f'a frame of {size} bytes exceeds the limit of '
                    f'{self.frame_bytes}',
                ),
            )
        if not self.queue.put(message, outgoing):
            return Error(
                LinkError(
                    LinkErrorKind.QUEUE_FULL,
                    'the send queue is full; retry later',
                ),
            )
        self.schedule_flush()
        return ok(None)

    def resume(self, transport: asyncio.Transport) -> None:
        """Write the queued frames and resume writing."""
        self.transport = transport
        self.schedule_flush()

    def pause(self) -> None:
        """Hold frames in the queue while the socket buffer is full."""
        self.transport = None

    def schedule_flush(self) -> None:
        """Write the queued frames in the next event loop iteration."""
        if self.transport and not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write the queued frames to the socket in batches."""
        self.is_flush_scheduled = False
        while self.transport and self.queue:
            self.transport.write(self.queue.take_batch())
