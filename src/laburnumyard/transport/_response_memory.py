"""Bound on the memory of incomplete responses, over all connections."""

from dataclasses import dataclass, field

from laburnumyard.core.memory_account import (
    SMALL_BYTES,
    Holder,
    MemoryAccount,
)


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
    account
        Account of the process, from which the bytes are drawn as well.
    """

    max_bytes: int
    used_bytes: int = 0
    account: MemoryAccount = field(default_factory=MemoryAccount)

    def reserve(self, size: int, held_bytes: int = 0) -> bool:
        """Count received bytes; return whether they may be kept.

        Parameters
        ----------
        size
            Number of received bytes.
        held_bytes
            What the same response holds already.
        """
        if self.used_bytes + size > self.max_bytes:
            return False
        is_small = held_bytes + size <= SMALL_BYTES
        if not self.account.draw(
            Holder.TARGET_RESPONSES, size, is_small=is_small
        ):
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return the bytes of a response that is complete or dropped."""
        self.used_bytes -= size
        self.account.give_back(Holder.TARGET_RESPONSES, size)
