"""The bounded queue of frames that wait for one link."""

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
class Outgoing:
    """A frame on its way to the socket.

    Parameters
    ----------
    frame
        The bytes to send.
    is_written
        Whether the frame was handed to the socket.
    is_withdrawn
        Whether the frame is skipped because nobody waits for it.
    """

    frame: bytes
    is_written: bool = False
    is_withdrawn: bool = False


class Lane:
    """Frames of one priority, in order.

    Parameters
    ----------
    limit_bytes
        How many bytes wait at most.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing waiting."""
        self.limit_bytes = limit_bytes
        self.waiting_bytes = 0
        self.frames: deque[Outgoing] = deque()

    def put(self, outgoing: Outgoing) -> bool:
        """Append a frame and tell whether there was room."""
        size = len(outgoing.frame)
        if self.frames and self.waiting_bytes + size > self.limit_bytes:
            return False
        self.waiting_bytes += size
        self.frames.append(outgoing)
        return True

    def take(self) -> Outgoing:
        """Remove and return the oldest frame."""
        outgoing = self.frames.popleft()
        self.waiting_bytes -= len(outgoing.frame)
        return outgoing


class SendQueue:
    """Frames of one link: control messages go before bulk ones.

    Parameters
    ----------
    settings
        The bounds of the queue.
    """

    def __init__(self, settings: LinkSettings) -> None:
        """Start with nothing waiting."""
        self.write_bytes = settings.write_bytes
        self.control = Lane(settings.control_queue_bytes)
        self.bulk = Lane(settings.bulk_queue_bytes)

    def __bool__(self) -> bool:
        """Tell whether a frame waits."""
        return bool(self.control.frames or self.bulk.frames)

    def put(self, message: messages.Message, outgoing: Outgoing) -> bool:
        """Append the frame of a message and tell whether there was room."""
        is_bulk = isinstance(message, BULK_MESSAGES)
        lane = self.bulk if is_bulk else self.control
        return lane.put(outgoing)

    def take_batch(self) -> bytes:
        """Return the bytes of the next frames, marked as written."""
        batch: list[bytes] = []
        size = 0
        while size < self.write_bytes and self:
            lane = self.control if self.control.frames else self.bulk
            outgoing = lane.take()
            if outgoing.is_withdrawn:
                continue
            outgoing.is_written = True
            batch.append(outgoing.frame)
            size += len(outgoing.frame)
        return b''.join(batch)
