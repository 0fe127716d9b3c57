"""Key hashing and ranges of the hash space."""

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

import xxhash

from laburnumyard.core.ids import KeyHash

HASH_BITS = 64
HASH_SPACE = 1 << HASH_BITS


def hash_key(key: str) -> KeyHash:
    """Return the hash of a key.

    Parameters
    ----------
    key
        The key as the caller sent it.

    Returns
    -------
    KeyHash
        A number from 0 to ``HASH_SPACE - 1``.

    Examples
    --------
    >>> hash_key('bench-17') == hash_key('bench-17')
    True
    """
    return KeyHash(xxhash.xxh3_64_intdigest(key.encode()))


@dataclass(frozen=True, slots=True, order=True)
class HashRange:
    """A half-open range ``[start, stop)`` of the hash space.

    Parameters
    ----------
    start
        The first hash in the range.
    stop
        The first hash after the range, at most ``HASH_SPACE``.

    Raises
    ------
    ValueError
        If the range is empty or exceeds the hash space.
    """

    start: int
    stop: int

    def __post_init__(self) -> None:
        """Reject an empty range or one outside the hash space."""
        outside = self.start < 0 or self.stop > HASH_SPACE
        if outside or self.start >= self.stop:
            raise ValueError(
                f'hash range [{self.start}, {self.stop}) is empty or outside '
                f'[0, {HASH_SPACE}); give start < stop inside it',
            )

    def __contains__(self, key_hash: int) -> bool:
        """Return whether a hash lies in the range."""
        return self.start <= key_hash < self.stop

    def overlaps(self, other: 'HashRange') -> bool:
        """Return whether two ranges intersect."""
        return self.start < other.stop and other.start < self.stop


def split_evenly(whole: HashRange, parts: int) -> tuple[HashRange, ...]:
    """Split a range into equal parts; the last part takes the remainder.

    Parameters
    ----------
    whole
        The range to split.
    parts
        The number of parts, at least 1.

    Returns
    -------
    tuple of HashRange
        The parts in order, without gaps.
    """
    step = (whole.stop - whole.start) // parts
    cuts = [whole.start + step * part for part in range(parts)]
    stops = [*cuts[1:], whole.stop]
    return tuple(map(HashRange, cuts, stops))


def covers(whole: HashRange, parts: Iterable[HashRange]) -> bool:
    """Return whether parts cover a range exactly, without gap or overlap."""
    position = whole.start
    for part in sorted(parts):
        if part.start != position:
            return False
        position = part.stop
    return position == whole.stop


def hash_position(fraction: float) -> int:
    """Map a fraction to a position in the hash space, exactly.

    Parameters
    ----------
    fraction
        From 0 to 1.

    Returns
    -------
    int
        From 0 to ``HASH_SPACE``. Equal fractions have equal positions, so that
        ranges adjacent in the file are adjacent in the hash space.

    Examples
    --------
    >>> hash_position(0.5) == HASH_SPACE // 2
    True
    """
    return int(Fraction(fraction) * HASH_SPACE)
