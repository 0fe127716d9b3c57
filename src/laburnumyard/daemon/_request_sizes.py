"""Sizes of the request that a connection reads."""

from collections.abc import Callable, Iterable

from laburnumyard.intake import AT_ONCE_BYTES, is_costly_body


class RequestSizes:
    """Calls of the parser of a connection, and sizes of the body that it reads.

    Parameters
    ----------
    feed
        Parses received bytes.
    """

    def __init__(self, feed: Callable[[bytes | memoryview], None]) -> None:
        """Create the sizes before the first request."""
        self.feed = feed
        self.calls = 0
        self.begin()

    def begin(self) -> None:
        """Expect the next request."""
        self.is_reading_head = True
        self.parts = 0
        self.body_bytes = 0
        # 0 for a body in chunks.
        self.body_length = 0

    def finish_head(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Note the length of the body that the head announces."""
        self.is_reading_head = False
        fields = dict(headers)
        length = fields.get(b'content-length', b'')
        if length.isdigit() and b'transfer-encoding' not in fields:
            self.body_length = int(length)

    def add_part(self, size: int) -> None:
        """Count a part of the body."""
        self.calls += 1
        self.parts += 1
        self.body_bytes += size

    def step_bytes(self, received: int) -> int:
        """Return how many of the received bytes to parse at once."""
        left = self.body_length - self.body_bytes
        if self.is_reading_head or left <= 0:
            return AT_ONCE_BYTES
        return min(received, left)

    @property
    def costly_calls(self) -> int:
        """Parts of the body so far if they are many and small, else 0."""
        is_costly = is_costly_body(self.parts, self.body_bytes)
        return self.parts if is_costly else 0
