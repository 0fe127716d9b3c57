"""Frames: a length of 4 bytes, big-endian, and one envelope."""

import struct
from collections.abc import Iterator

import capnp

from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkErrorKind

LENGTH = struct.Struct('>I')
LENGTH_BYTES = LENGTH.size


class FrameError(Exception):
    """A frame that breaks the protocol; its link has to be closed.

    Parameters
    ----------
    kind
        What is wrong with the frame.
    detail
        The bad value, in one sentence.
    """

    def __init__(self, kind: LinkErrorKind, detail: str) -> None:
        """Keep the kind beside the text."""
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


def encode_frame(
    message: messages.Message,
    number: int | None = None,
) -> bytes:
    """Return the frame of a message.

    Parameters
    ----------
    message
        Any message of the schema.
    number
        Goes in place of the message's own number, where it is given.

    Returns
    -------
    bytes
        The length and the envelope.

    Examples
    --------
    >>> len(encode_frame(messages.Ping(number=1))) > LENGTH_BYTES
    True
    """
    envelope = messages.encode(message, number)
    return LENGTH.pack(len(envelope)) + envelope


def decode_envelope(envelope: bytes) -> messages.Message:
    """Return the message of an envelope that nobody has checked yet.

    Raises
    ------
    FrameError
        If the bytes are no envelope of this schema.
    """
    try:
        return messages.decode(envelope)
    except (capnp.KjException, ValueError, LookupError) as error:
        raise FrameError(
            LinkErrorKind.MALFORMED_MESSAGE,
            f'{len(envelope)} bytes are no envelope of this schema: '
            f'{type(error).__name__}',
        ) from error


class FrameReader:
    """Cuts a stream of bytes into envelopes.

    Parameters
    ----------
    frame_bytes
        The largest envelope that is taken.
    """

    def __init__(self, frame_bytes: int) -> None:
        """Start with an empty buffer."""
        self.frame_bytes = frame_bytes
        self.buffer = b''

    def feed(self, received: bytes) -> Iterator[bytes]:
        """Yield the whole envelopes that have arrived.

        Raises
        ------
        FrameError
            If a frame is empty or over the limit.
        """
        stream = self.buffer + received if self.buffer else received
        position = 0
        stop = self._stop_of(stream, position)
        while stop <= len(stream):
            self.buffer = b''
            yield stream[position + LENGTH_BYTES : stop]
            position = stop
            stop = self._stop_of(stream, position)
        self.buffer = stream[position:]

    def finish(self) -> None:
        """Check that the stream did not end inside a frame.

        Raises
        ------
        FrameError
            If part of a frame is left over.
        """
        if self.buffer:
            raise FrameError(
                LinkErrorKind.TRUNCATED_FRAME,
                f'the stream ended after {len(self.buffer)} bytes of a frame',
            )

    def _stop_of(self, stream: bytes, position: int) -> int:
        if len(stream) - position < LENGTH_BYTES:
            return len(stream) + 1
        length = LENGTH.unpack_from(stream, position)[0]
        if not length:
            raise FrameError(LinkErrorKind.EMPTY_FRAME, 'a frame is empty')
        if length > self.frame_bytes:
            raise FrameError(
                LinkErrorKind.OVERSIZE_FRAME,
                f'a frame of {length} bytes is over the limit of '
                f'{self.frame_bytes}; raise limits.body_bytes everywhere',
            )
        return position + LENGTH_BYTES + length
