"""Checks that the key ranges of a service cover its hash space exactly once."""

from collections.abc import Iterator
from itertools import filterfalse, pairwise

from laburnumyard.core.configuration._object_set import ObjectSet
from laburnumyard.core.file_problems import Problem
from laburnumyard.core.key_hashing import hash_position
from laburnumyard.schema._generated.objects import KeyRange, Service


def find_range_problems(object_set: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each empty range, overlap and gap.

    Parameters
    ----------
    object_set
        The objects of all files.

    Yields
    ------
    Problem
        A problem with the range to correct.
    """
    for key_range in object_set.objects.key_range:
        if _is_empty(key_range):
            remedy = f'give more than start = {key_range.start}'
            yield object_set.problem(key_range, 'stop', key_range.stop, remedy)
    groups = object_set.by_service('key_range')
    for service in object_set.objects.service:
        found = list(filterfalse(_is_empty, groups.get(service.name, ())))
        yield from _check_coverage(object_set, service, found)


def _is_empty(key_range: KeyRange) -> bool:
    return hash_position(key_range.start) >= hash_position(key_range.stop)


def _check_coverage(
    object_set: ObjectSet,
    service: Service,
    key_ranges: list[KeyRange],
) -> Iterator[Problem]:
    if not key_ranges:
        remedy = f'add a [[key_range]] with service = "{service.name}"'
        yield object_set.problem(service, '', None, remedy)
        return
    ordered = sorted(key_ranges, key=lambda item: (item.start, item.stop))
    first, last = ordered[0], max(ordered, key=lambda item: item.stop)
    if first.start > 0:
        remedy = f'give 0; no range of {service.name} holds the keys below'
        yield object_set.problem(first, 'start', first.start, remedy)
    yield from _find_overlaps_and_gaps(object_set, ordered)
    if last.stop < 1:
        remedy = f'give 1; no range of {service.name} holds the keys above'
        yield object_set.problem(last, 'stop', last.stop, remedy)


def _find_overlaps_and_gaps(
    object_set: ObjectSet,
    ordered: list[KeyRange],
) -> Iterator[Problem]:
    highest = ordered[0]
    for _, later in pairwise(ordered):
        end, start = hash_position(highest.stop), hash_position(later.start)
        if start < end:
            remedy = f'give at least {highest.stop}; it overlaps {highest.name}'
            yield object_set.problem(later, 'start', later.start, remedy)
        elif start > end:
            remedy = f'give {highest.stop}; a hole follows {highest.name}'
            yield object_set.problem(later, 'start', later.start, remedy)
        highest = max(highest, later, key=lambda item: item.stop)
