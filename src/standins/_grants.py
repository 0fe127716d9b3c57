"""The fencing rules of the target stand-in, written apart from the product."""

from collections import deque
from dataclasses import asdict, dataclass, field
from typing import Any

HISTORY_LIMIT = 20_000

Ranges = tuple[tuple[int, int], ...]


@dataclass(slots=True)
class Ownership:
    """A stretch of time in which the target held ranges, on its own clock.

    Parameters
    ----------
    from_ms, until_ms
        The boot-time clock, in milliseconds; ``until_ms`` is exclusive.
    ranges
        The inclusive ranges of key hashes.
    term, sequence
        The grant that gave them.
    """

    from_ms: int
    until_ms: int
    ranges: Ranges
    term: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Lifetime:
    """A grant's or renewal's fence and the end of its life."""

    term: int
    sequence: int
    clock_ms: int
    lifetime_ms: int

    @property
    def until_ms(self) -> int:
        """The end of the grant on the target's clock."""
        return self.clock_ms + self.lifetime_ms


@dataclass(slots=True)
class Fence:
    """What the target accepted, and from which term."""

    term: int = 0
    sequence: int = 0
    ranges: Ranges = ()
    until_ms: int = 0
    history: deque[Ownership] = field(
        default_factory=lambda: deque(maxlen=HISTORY_LIMIT),
    )

    def seal(self, term: int) -> bool:
        """Refuse all earlier terms from now on; keep the ranges."""
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
            self.sequence = 0
        return True

    def grant(self, life: Lifetime, ranges: Ranges, now_ms: int) -> bool:
        """Replace the ranges if the fence lets the grant through."""
        is_newer = life.sequence > self.sequence
        if not is_newer or not self._is_fresh(life, now_ms):
            return False
        self._close(now_ms)
        self.sequence = life.sequence
        self.ranges = ranges
        self.until_ms = life.until_ms
        self._open(now_ms)
        return True

    def renew(self, life: Lifetime, now_ms: int) -> bool:
        """Extend the life of the ranges if the fence lets it through."""
        is_current = life.sequence == self.sequence
        if not is_current or not self._is_fresh(life, now_ms):
            return False
        was_held = now_ms < self.until_ms
        self.until_ms = max(self.until_ms, life.until_ms)
        if was_held and self.ranges:
            self.history[-1].until_ms = self.until_ms
        else:
            self._open(now_ms)
        return True

    def owns(self, key_hash: int, now_ms: int) -> bool:
        """Tell whether the target holds the key at a time."""
        if now_ms >= self.until_ms:
            return False
        return any(start <= key_hash <= last for start, last in self.ranges)

    def held(self, now_ms: int) -> Ranges:
        """Return the ranges that are held at a time."""
        return self.ranges if now_ms < self.until_ms else ()

    def export_history(self) -> list[dict[str, Any]]:
        """Return the history for an outside observer."""
        return [
            asdict(past) | {'ranges': export_ranges(past.ranges)}
            for past in self.history
        ]

    def _is_fresh(self, life: Lifetime, now_ms: int) -> bool:
        # A reading ahead of the clock was given before a restart.
        return life.term == self.term and life.clock_ms <= now_ms

    def _close(self, now_ms: int) -> None:
        if self.history and self.history[-1].until_ms > now_ms:
            self.history[-1].until_ms = now_ms

    def _open(self, now_ms: int) -> None:
        if self.ranges and now_ms < self.until_ms:
            self.history.append(
                Ownership(
                    now_ms,
                    self.until_ms,
                    self.ranges,
                    self.term,
                    self.sequence,
                ),
            )


def export_ranges(ranges: Ranges) -> list[list[str]]:
    """Return ranges as lists of decimal strings."""
    return [[str(start), str(last)] for start, last in ranges]


def import_ranges(ranges: list[list[str]]) -> Ranges:
    """Return ranges from lists of decimal strings."""
    return tuple((int(start), int(last)) for start, last in ranges)
