"""Checks that the key ranges of a service fill its hash space once."""

from collections.abc import Iterator
from itertools import filterfalse, pairwise

from laburnumyard.core.configuration._catalogue import Catalogue
from laburnumyard.core.keys import place_of
from laburnumyard.core.problems import Problem
from laburnumyard.schema._generated.objects import KeyRange, Service


def find_range_problems(catalogue: Catalogue) -> Iterator[Problem]:
    """Yield each empty range, overlap and hole.

    Parameters
    ----------
    catalogue
        The objects of all files.

    Yields
    ------
    Problem
        With the range to mend.
    """
    for key_range in catalogue.objects.key_range:
        if _is_empty(key_range):
            remedy = f'give more than start = {key_range.start}'
            yield catalogue.problem(key_range, 'stop', key_range.stop, remedy)
    groups = catalogue.by_service('key_range')
    for service in catalogue.objects.service:
        found = list(filterfalse(_is_empty, groups.get(service.name, ())))
        yield from _find_gaps(catalogue, service, found)


def _is_empty(key_range: KeyRange) -> bool:
    return place_of(key_range.start) >= place_of(key_range.stop)


def _find_gaps(
    catalogue: Catalogue,
    service: Service,
    key_ranges: list[KeyRange],
) -> Iterator[Problem]:
    if not key_ranges:
        remedy = f'add a [[key_range]] with service = "{service.name}"'
        yield catalogue.problem(service, '', None, remedy)
        return
    ordered = sorted(key_ranges, key=lambda item: (item.start, item.stop))
    first, last = ordered[0], max(ordered, key=lambda item: item.stop)
    if first.start > 0:
        remedy = f'give 0; no range of {service.name} holds the keys below'
        yield catalogue.problem(first, 'start', first.start, remedy)
    yield from _find_clashes(catalogue, ordered)
    if last.stop < 1:
        remedy = f'give 1; no range of {service.name} holds the keys above'
        yield catalogue.problem(last, 'stop', last.stop, remedy)


def _find_clashes(
    catalogue: Catalogue,
    ordered: list[KeyRange],
) -> Iterator[Problem]:
    furthest = ordered[0]
    for _, later in pairwise(ordered):
        end, start = place_of(furthest.stop), place_of(later.start)
        if start < end:
            remedy = (
                f'give at least {furthest.stop}; it overlaps {furthest.name}'
            )
            yield catalogue.problem(later, 'start', later.start, remedy)
        elif start > end:
            remedy = f'give {furthest.stop}; a hole follows {furthest.name}'
            yield catalogue.problem(later, 'start', later.start, remedy)
        furthest = max(furthest, later, key=lambda item: item.stop)
