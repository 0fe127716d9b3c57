"""Bounded send queue of a link, with two priorities."""

from collections import deque
from dataclasses import dataclass

from laburnumyard.schema._generated import messages
from laburnumyard.wire._settings import LinkSettings

BULK_MESSAGES = (
    messages.Submit,
    messages.SubmitAnswer,
    messages.DocumentPart,
)


@dataclass(slots=True, eq=False)
class OutgoingFrame:
    """A queued frame and its state.

    Parameters
    ----------
    frame
        The bytes to send.
    is_written
        Whether the frame was written to the socket.
    is_withdrawn
        Whether to skip the frame because its request was abandoned.
    """

    frame: bytes
    is_written: bool = False
    is_withdrawn: bool = False


class FrameQueue:
    """FIFO queue of frames of one priority.

    Parameters
    ----------
    limit_bytes
        Maximum size of the queued frames, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create an empty queue."""
        self.limit_bytes = limit_bytes
        self.waiting_bytes = 0
        self.frames: deque[OutgoingFrame] = deque()

    def put(self, outgoing: OutgoingFrame) -> bool:
        """Append a frame; return whether it fit within the limit."""
        size = len(outgoing.frame)
        if self.frames and self.waiting_bytes + size > self.limit_bytes:
            return False
        self.waiting_bytes += size
        self.frames.append(outgoing)
        return True

    def take(self) -> OutgoingFrame:
        """Remove and return the oldest frame."""
        outgoing = self.frames.popleft()
        self.waiting_bytes -= len(outgoing.frame)
        return outgoing


class SendQueue:
    """Send queue of a link: control messages precede bulk messages.

    Parameters
    ----------
    settings
        Settings with the limits of the queue.
    """

    def __init__(self, settings: LinkSettings) -> None:
        """Create an empty queue."""
        self.write_bytes = settings.write_bytes
        self.control = FrameQueue(settings.control_queue_bytes)
        self.bulk = FrameQueue(settings.bulk_queue_bytes)

    def __bool__(self) -> bool:
        """Return whether any frame is queued."""
        return bool(self.control.frames or self.bulk.frames)

    @property
    def waiting_bytes(self) -> int:
        """Size of all queued frames."""
        return self.control.waiting_bytes + self.bulk.waiting_bytes

    def put(self, message: messages.Message, outgoing: OutgoingFrame) -> bool:
        """Append the frame of a message; return whether it fit."""
        is_bulk = isinstance(message, BULK_MESSAGES)
        frame_queue = self.bulk if is_bulk else self.control
        return frame_queue.put(outgoing)

    def take_batch(self) -> bytes:
        """Remove the next frames, mark them as written, return their bytes."""
        batch: list[bytes] = []
        size = 0
        while size < self.write_bytes and self:
            frame_queue = self.control if self.control.frames else self.bulk
            outgoing = frame_queue.take()
            if outgoing.is_withdrawn:
                continue
            outgoing.is_written = True
            batch.append(outgoing.frame)
            size += len(outgoing.frame)
        return b''.join(batch)
