"""Queries and pure transformations of assignments and hash ranges."""

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from operator import attrgetter

from laburnumyard.core.ids import TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.schema._generated.messages import Assignment, OwnedRange

NO_TARGET = TargetName('')


def hash_range(owned: OwnedRange) -> HashRange:
    """Return the hash range of an assignment entry."""
    return HashRange(owned.start, owned.last + 1)


def owned_range(
    part: HashRange,
    target: TargetName = NO_TARGET,
) -> OwnedRange:
    """Return the assignment entry of a hash range and its owner.

    Messages to or from a single target omit the owner.
    """
    return OwnedRange(part.start, part.stop - 1, target)


def ranges_by_target(
    assignment: Assignment,
) -> dict[TargetName, tuple[HashRange, ...]]:
    """Return the ranges of each target that owns at least one."""
    owners: dict[TargetName, list[HashRange]] = {}
    for owned in assignment.ranges:
        ranges = owners.setdefault(TargetName(owned.target), [])
        ranges.append(hash_range(owned))
    return {target: tuple(ranges) for target, ranges in owners.items()}


def owner_of(assignment: Assignment, part: HashRange) -> TargetName | None:
    """Return the owner of a range if one entry covers all of it."""
    for owned in assignment.ranges:
        if owned.start <= part.start and part.stop <= owned.last + 1:
            return TargetName(owned.target)
    return None


def reassigned(
    assignment: Assignment,
    owners: Mapping[HashRange, TargetName],
) -> Assignment:
    """Assign ranges to new owners, splitting the entries that contain them.

    Parameters
    ----------
    assignment
        The assignment to change.
    owners
        The new owner of each range; the ranges must not overlap.

    Returns
    -------
    Assignment
        The changed assignment, in order of the hash space.
    """
    if not owners:
        return assignment
    removed = _removed_parts_by_entry(assignment, owners)
    ranges = [
        owned
        for index, owned in enumerate(assignment.ranges)
        if index not in removed
    ]
    ranges.extend(owned_range(part, to) for part, to in owners.items())
    for index, parts in removed.items():
        ranges.extend(_remainders(assignment.ranges[index], parts))
    ranges.sort(key=attrgetter('start'))
    return replace(assignment, ranges=tuple(ranges))


def subtract(
    ranges: Iterable[HashRange],
    removed: Iterable[HashRange],
) -> tuple[HashRange, ...]:
    """Return the rest of the ranges without the removed parts."""
    left = tuple(ranges)
    for part in removed:
        left = tuple(
            piece for whole in left for piece in _subtract_one(whole, part)
        )
    return left


def coalesce(ranges: Iterable[HashRange]) -> tuple[HashRange, ...]:
    """Return the ranges in order, with adjacent ones combined."""
    result: list[HashRange] = []
    for part in sorted(ranges):
        if result and result[-1].stop == part.start:
            part = HashRange(result.pop().start, part.stop)
        result.append(part)
    return tuple(result)


def within(part: HashRange, ranges: Iterable[HashRange]) -> bool:
    """Tell whether the ranges together contain a part completely."""
    return any(
        whole.start <= part.start and part.stop <= whole.stop
        for whole in coalesce(ranges)
    )


def merged(
    assignment: Assignment,
    may_merge: Callable[[OwnedRange, OwnedRange], bool],
) -> Assignment:
    """Merge adjacent entries of one owner.

    Parameters
    ----------
    assignment
        The assignment to change.
    may_merge
        Tells whether two adjacent entries of one owner may be merged.

    Returns
    -------
    Assignment
        The changed assignment; no hash changes its owner.
    """
    ranges = list(assignment.ranges[:1])
    for owned in assignment.ranges[1:]:
        last = ranges[-1]
        adjacent = last.target == owned.target and last.last + 1 == owned.start
        if adjacent and may_merge(last, owned):
            ranges[-1] = replace(last, last=owned.last)
        else:
            ranges.append(owned)
    return replace(assignment, ranges=tuple(ranges))


def _removed_parts_by_entry(
    assignment: Assignment,
    parts: Iterable[HashRange],
) -> dict[int, list[HashRange]]:
    """Return the removed parts of each entry, by the index of the entry."""
    starts = [owned.start for owned in assignment.ranges]
    removed: dict[int, list[HashRange]] = {}
    for part in parts:
        first = max(bisect_right(starts, part.start) - 1, 0)
        for index in range(first, bisect_left(starts, part.stop)):
            removed.setdefault(index, []).append(part)
    return removed


def _remainders(
    owned: OwnedRange,
    removed: Iterable[HashRange],
) -> list[OwnedRange]:
    pieces = subtract([hash_range(owned)], removed)
    return [owned_range(piece, TargetName(owned.target)) for piece in pieces]


def _subtract_one(whole: HashRange, part: HashRange) -> list[HashRange]:
    if not whole.overlaps(part):
        return [whole]
    pieces = []
    if whole.start < part.start:
        pieces.append(HashRange(whole.start, part.start))
    if part.stop < whole.stop:
        pieces.append(HashRange(part.stop, whole.stop))
    return pieces
