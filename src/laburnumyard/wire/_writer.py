"""Joins the frames that wait for one link into few writes."""

import asyncio

from expression import Error, Result

from laburnumyard.core.results import ok
from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._queue import Outgoing, SendQueue
from laburnumyard.wire._settings import LinkSettings

Sent = Result[None, LinkError]


class FrameWriter:
    """Writes frames to a socket, at most once for each turn of the loop.

    Parameters
    ----------
    loop
        The loop that runs the link.
    settings
        Bounds and intervals.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: LinkSettings,
    ) -> None:
        """Start without a socket; frames wait until it is there."""
        self.loop = loop
        self.frame_bytes = settings.frame_bytes
        self.queue = SendQueue(settings)
        self.transport: asyncio.Transport | None = None
        self.is_flush_due = False

    def put(self, message: messages.Message, outgoing: Outgoing) -> Sent:
        """Queue the frame of a message without waiting."""
        size = len(outgoing.frame)
        if size > self.frame_bytes:
            return Error(
                LinkError(
                    LinkErrorKind.OVERSIZE_FRAME,
                    f'a frame of {size} bytes is over the limit of '
                    f'{self.frame_bytes}',
                ),
            )
        if not self.queue.put(message, outgoing):
            return Error(
                LinkError(LinkErrorKind.QUEUE_FULL, 'the link is congested'),
            )
        self.schedule_flush()
        return ok(None)

    def resume(self, transport: asyncio.Transport) -> None:
        """Write what waits, and go on writing."""
        self.transport = transport
        self.schedule_flush()

    def pause(self) -> None:
        """Keep frames in the queue while the socket takes no more."""
        self.transport = None

    def schedule_flush(self) -> None:
        """Write what waits once this turn of the loop has ended."""
        if self.transport and not self.is_flush_due:
            self.is_flush_due = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Hand the waiting frames to the socket, joined into few writes."""
        self.is_flush_due = False
        while self.transport and self.queue:
            self.transport.write(self.queue.take_batch())
