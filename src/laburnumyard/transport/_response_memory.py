"""Bound on the memory of incomplete responses, over all connections."""

from dataclasses import dataclass


@dataclass(slots=True)
class ResponseMemory:
    """Bytes held by responses that are not complete yet.

    A target in trouble may send a body without end. Several of them at once
    would use up the memory of a small VM although each stays below the limit of
    one response.

    Parameters
    ----------
    max_bytes
        Bound on the sum over all responses.
    """

    max_bytes: int
    used_bytes: int = 0

    def reserve(self, size: int) -> bool:
        """Count received bytes; return whether they may be kept."""
        if self.used_bytes + size > self.max_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return the bytes of a response that is complete or dropped."""
        self.used_bytes -= size
