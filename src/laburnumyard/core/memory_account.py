"""Account of the bytes that a process holds for others, and whom to cut.

Each part that keeps bytes of callers, targets or peers draws them from the
account of the process and gives them back. The charge is more than the number
of bytes where each piece takes objects of its own.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.core.ids import Seconds

BYTES_PER_MB = 1_000_000
# What an idle process uses (47 to 54 MB), and room for what isn't counted:
# buffers of the system, fragmentation, and what is freed an iteration of the
# loop late.
BASE_BYTES = 72_000_000
BASE_RATIO = 0.25
# Part of the account that only small requests and responses get.
RESERVED_RATIO = 0.125
# A claim, response or message up to this size is small.
SMALL_BYTES = 65_536
# Part of the account above which a connection takes no further request.
SHARE_RATIO = 0.0625
# Time in which progress counts half as much, in seconds.
PROGRESS_HALF_LIFE_S = 1.0
# Added to each claim's progress, so that small claims are not the first to be
# cut only because they have just begun.
PROGRESS_CREDIT_BYTES = 65_536
# Objects of a header line in Python: the pair, two strings, its places in the
# lists of the reader, the router and the encoder, and the encoded line.
HEADER_LINE_BYTES = 256
# Objects of a request that is served: task, scope, attempt and timers.
REQUEST_BYTES = 8192
# Objects and buffers of a connection that does nothing.
CONNECTION_BYTES = 16_384


class Holder(Enum):
    """What bytes are held for."""

    CONNECTIONS = 'connections'
    UNPARSED = 'unparsed'
    SOCKETS = 'sockets'
    HEADS = 'heads'
    BODIES = 'bodies'
    REQUESTS = 'requests'
    RESPONSES = 'responses'
    TARGET_RESPONSES = 'target-responses'
    RELAYED = 'relayed'
    FRAMES = 'frames'


def cut_nothing() -> bool:
    """Return that no room can be made."""
    return False


@dataclass(slots=True)
class MemoryAccount:
    """Bytes held by all parts of a process.

    Parameters
    ----------
    limit_bytes
        Bound on the sum over all holders; infinite by default.

    Attributes
    ----------
    make_room
        Called while the account is full; cuts a caller and returns True, or
        returns False if nobody can be cut.
    """

    limit_bytes: float = math.inf
    used_bytes: int = 0
    held: dict[Holder, int] = field(
        default_factory=lambda: dict.fromkeys(Holder, 0)
    )
    make_room: Callable[[], bool] = cut_nothing

    @property
    def share_bytes(self) -> float:
        """Bytes above which a connection takes no further request."""
        return self.limit_bytes * SHARE_RATIO

    def fits(self, size: int, *, is_small: bool) -> bool:
        """Whether more bytes may be held; large ones leave a reserved part."""
        limit = self.limit_bytes
        if not is_small:
            limit *= 1 - RESERVED_RATIO
        return self.used_bytes + size <= limit

    def draw(self, holder: Holder, size: int, *, is_small: bool) -> bool:
        """Hold more bytes; return whether they may be held.

        Parameters
        ----------
        holder, size
            What the bytes are held for, and their number.
        is_small
            Whether they belong to something small, so that they may come from
            the reserved part.
        """
        while not self.fits(size, is_small=is_small):
            if not self.make_room():
                return False
        self.used_bytes += size
        self.held[holder] += size
        return True

    def note(self, holder: Holder, size: int) -> None:
        """Replace what a holder holds by what was counted there."""
        self.used_bytes += size - self.held[holder]
        self.held[holder] = size

    def gauges(self) -> dict[str, int]:
        """Return the bytes that each holder holds."""
        return {holder.value: size for holder, size in self.held.items()}

    def give_back(self, holder: Holder, size: int) -> None:
        """Hold bytes no longer."""
        self.used_bytes -= size
        self.held[holder] -= size


@dataclass(slots=True, eq=False)
class MemoryClaim:
    """What the connection of one caller holds.

    Parameters
    ----------
    account
        Account of the process.

    Attributes
    ----------
    is_closed
        Whether the connection was cut or has ended; it gets no more bytes.
    is_forwarded
        Whether cutting it would end a request that was passed on.
    """

    account: MemoryAccount
    total_bytes: int = 0
    held: dict[Holder, int] = field(default_factory=dict)
    progress_bytes: float = 0
    progress_at: float = 0
    is_forwarded: bool = False
    is_closed: bool = False

    def draw(self, holder: Holder, size: int) -> bool:
        """Hold more bytes; return whether they may be held."""
        if self.is_closed:
            return False
        is_small = self.total_bytes + size <= SMALL_BYTES
        if not self.account.draw(holder, size, is_small=is_small):
            return False
        if self.is_closed:
            # This claim was the one that was cut.
            self.account.give_back(holder, size)
            return False
        self.total_bytes += size
        self.held[holder] = self.held.get(holder, 0) + size
        return True

    def give_back(self, holder: Holder, size: int) -> None:
        """Hold bytes no longer, unless all were given back before."""
        if self.is_closed or not size:
            return
        self.total_bytes -= size
        self.held[holder] -= size
        self.account.give_back(holder, size)

    def close(self) -> None:
        """Give everything back, and hold no more."""
        self.is_closed = True
        for holder, size in self.held.items():
            self.account.give_back(holder, size)
        self.held.clear()
        self.total_bytes = 0

    def note_progress(self, size: int, now: Seconds) -> None:
        """Count bytes that arrived, or that the caller has read."""
        self.progress_bytes = self.recent_progress(now) + size
        self.progress_at = now

    def recent_progress(self, now: Seconds) -> float:
        """Return the bytes moved lately; older ones count less."""
        age = max(0, now - self.progress_at) / PROGRESS_HALF_LIFE_S
        return self.progress_bytes * math.pow(2, -age)

    def merit(self, now: Seconds) -> float:
        """Return the progress for the bytes that are held."""
        moved = self.recent_progress(now) + PROGRESS_CREDIT_BYTES
        return moved / max(1, self.total_bytes)


def account_of(memory_mb: float) -> MemoryAccount:
    """Return the account of a process.

    Parameters
    ----------
    memory_mb
        Memory of the process, in millions of bytes; 0 for no limit.
    """
    if not memory_mb:
        return MemoryAccount()
    memory = memory_mb * BYTES_PER_MB
    base = max(BASE_BYTES, BASE_RATIO * memory)
    return MemoryAccount(max(BASE_RATIO * BASE_BYTES, memory - base))


def choose_cut(
    claims: Iterable[MemoryClaim], now: Seconds
) -> MemoryClaim | None:
    """Return the claim to cut first, None if none holds anything.

    It is the one with the least progress for its bytes; claims whose requests
    were passed on to targets come last.
    """
    held = (claim for claim in claims if claim.total_bytes > CONNECTION_BYTES)
    return min(
        held,
        key=lambda claim: (claim.is_forwarded, claim.merit(now)),
        default=None,
    )
