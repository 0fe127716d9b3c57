"""Frame format: a 4-byte big-endian length, then one envelope."""

import struct
from collections.abc import Iterator

import capnp

from laburnumyard.schema._generated import messages
from laburnumyard.wire._errors import LinkErrorKind

LENGTH = struct.Struct('>I')
LENGTH_BYTES = LENGTH.size


class FrameError(Exception):
    """A protocol violation, after which the link must be closed.

    Parameters
    ----------
    kind
        The kind of protocol violation.
    detail
        The bad value, in one sentence.
    """

    def __init__(self, kind: LinkErrorKind, detail: str) -> None:
        """Store the kind and use the detail as the exception text."""
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
        Replaces the message's own number if given.

    Returns
    -------
    bytes
        The length prefix and the envelope.

    Examples
    --------
    >>> len(encode_frame(messages.Ping(number=1))) > LENGTH_BYTES
    True
    """
    envelope = messages.encode(message, number)
    return LENGTH.pack(len(envelope)) + envelope


def decode_envelope(envelope: bytes) -> messages.Message:
    """Decode the message of an untrusted envelope.

    Raises
    ------
    FrameError
        If the bytes are not an envelope of this schema.
    """
    try:
        return messages.decode(envelope)
    except (capnp.KjException, ValueError, LookupError) as error:
        raise FrameError(
            LinkErrorKind.MALFORMED_MESSAGE,
            f'{len(envelope)} bytes are not an envelope of this schema: '
            f'{type(error).__name__}',
        ) from error


class FrameReader:
    """Splits a byte stream into envelopes.

    Parameters
    ----------
    frame_bytes
        Maximum size of an envelope, in bytes.
    """

    def __init__(self, frame_bytes: int) -> None:
        """Start with an empty buffer."""
        self.frame_bytes = frame_bytes
        self.buffer = b''

    def feed(self, received: bytes) -> Iterator[bytes]:
        """Yield the complete envelopes received so far.

        Raises
        ------
        FrameError
            If a frame is empty or exceeds the limit.
        """
        stream = self.buffer + received if self.buffer else received
        position = 0
        stop = self._frame_end(stream, position)
        while stop <= len(stream):
            self.buffer = b''
            yield stream[position + LENGTH_BYTES : stop]
            position = stop
            stop = self._frame_end(stream, position)
        self.buffer = stream[position:]

    def finish(self) -> None:
        """Check that the stream did not end inside a frame.

        Raises
        ------
        FrameError
            If an incomplete frame remains.
        """
        if self.buffer:
            raise FrameError(
                LinkErrorKind.TRUNCATED_FRAME,
                f'the stream ended after {len(self.buffer)} bytes of a frame',
            )

    def _frame_end(self, stream: bytes, position: int) -> int:
        if len(stream) - position < LENGTH_BYTES:
            return len(stream) + 1
        length = LENGTH.unpack_from(stream, position)[0]
        if not length:
            raise FrameError(LinkErrorKind.EMPTY_FRAME, 'a frame is empty')
        if length > self.frame_bytes:
            raise FrameError(
                LinkErrorKind.OVERSIZE_FRAME,
                f'a frame of {length} bytes exceeds the limit of '
                f'{self.frame_bytes}; raise limits.body_bytes everywhere',
            )
        return position + LENGTH_BYTES + length
