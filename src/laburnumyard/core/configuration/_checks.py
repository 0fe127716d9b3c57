"""Checks across objects: references, duplicates and contradictions."""

from collections import Counter
from collections.abc import Iterator
from itertools import chain

from laburnumyard.core.addresses import find_address_remedy
from laburnumyard.core.configuration._index import target_names
from laburnumyard.core.configuration._object_set import ObjectSet, title_of
from laburnumyard.core.configuration._priority_checks import (
    find_priority_problems,
)
from laburnumyard.core.configuration._range_checks import find_range_problems
from laburnumyard.core.file_problems import Problem

# First path segments that callers must never reach at a target.
RESERVED_SERVICES = frozenset(('control', 'stand-in'))


def find_problems(object_set: ObjectSet) -> Iterator[Problem]:
    """Yield all problems across objects that are individually valid.

    Parameters
    ----------
    object_set
        The objects of all files.

    Yields
    ------
    Problem
        A problem with the file and the object to correct.
    """
    if not object_set.objects.service:
        yield Problem('', 'objects', '', '', 'add a [[service]]')
    yield from chain(
        _reserved_names(object_set),
        _duplicates(object_set),
        _dangling_references(object_set),
        _addresses(object_set),
        _empty_services(object_set),
        _invalid_range_targets(object_set),
        _unlisted_targets(object_set),
        _drained_ranges(object_set),
        find_range_problems(object_set),
        find_priority_problems(object_set),
    )


def _reserved_names(object_set: ObjectSet) -> Iterator[Problem]:
    for item in object_set.objects.service:
        if item.name in RESERVED_SERVICES:
            remedy = 'give another name; targets keep this path for themselves'
            yield object_set.problem(item, 'name', item.name, remedy)


def _duplicates(object_set: ObjectSet) -> Iterator[Problem]:
    for item, first in object_set.duplicates():
        file = object_set.file_of(first)
        remedy = f'give another name; {file} has one of this name'
        yield object_set.problem(item, 'name', item.name, remedy)


def _dangling_references(object_set: ObjectSet) -> Iterator[Problem]:
    for item, field, kind, name in _references(object_set):
        if name not in object_set.names(kind):
            remedy = f'name a {kind} that exists, or add [[{kind}]] {name}'
            yield object_set.problem(item, field, name, remedy)


def _references(object_set: ObjectSet) -> Iterator[tuple]:
    objects = object_set.objects
    for service in objects.service:
        yield service, 'common_class', 'priority_class', service.common_class
    for key_range in objects.key_range:
        yield key_range, 'service', 'service', key_range.service
        for name in target_names(key_range):
            yield key_range, 'targets', 'target', name
    for target in objects.target:
        yield target, 'service', 'service', target.service
    for customer in objects.customer:
        for share in customer.shares:
            yield customer, 'shares', 'service', share.service
            yield customer, 'shares', 'priority_class', share.priority_class


def _addresses(object_set: ObjectSet) -> Iterator[Problem]:
    taken: dict[str, str] = {}
    for target in object_set.objects.target:
        remedy = find_address_remedy(target.address)
        first = taken.setdefault(target.address, target.name)
        if first != target.name:
            remedy = f'give another address; target {first} has this one'
        if remedy:
            yield object_set.problem(target, 'address', target.address, remedy)


def _empty_services(object_set: ObjectSet) -> Iterator[Problem]:
    served = object_set.by_service('target')
    for service in object_set.objects.service:
        if service.name not in served:
            remedy = f'add a [[target]] with service = "{service.name}"'
            yield object_set.problem(service, '', None, remedy)


def _invalid_range_targets(object_set: ObjectSet) -> Iterator[Problem]:
    targets = object_set.names('target')
    for key_range in object_set.objects.key_range:
        for name, count in Counter(target_names(key_range)).items():
            if count > 1:
                remedy = 'list each target once'
                yield object_set.problem(key_range, 'targets', name, remedy)
            target = targets.get(name)
            if target and target.service != key_range.service:
                remedy = (
                    f'list targets of service {key_range.service}; this one '
                    f'belongs to {target.service}'
                )
                yield object_set.problem(key_range, 'targets', name, remedy)


def _unlisted_targets(object_set: ObjectSet) -> Iterator[Problem]:
    listed = set(
        chain.from_iterable(map(target_names, object_set.objects.key_range))
    )
    for target in object_set.objects.target:
        if target.name not in listed and not target.draining:
            remedy = 'list it in a key range, or set draining = true'
            yield object_set.problem(target, 'name', target.name, remedy)


def _drained_ranges(object_set: ObjectSet) -> Iterator[Problem]:
    targets = object_set.names('target')
    for key_range in object_set.objects.key_range:
        found = [targets.get(name) for name in target_names(key_range)]
        if all(target and target.draining for target in found):
            remedy = (
                'list a target that is not draining, or set draining = false '
                f'for {title_of(found[0])}'
            )
            names = list(target_names(key_range))
            yield object_set.problem(key_range, 'targets', names, remedy)
