"""Checks of customers, their shares and priority classes."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import chain

from laburnumyard.core.configuration._object_set import ObjectSet
from laburnumyard.core.file_problems import Problem
from laburnumyard.schema._generated.objects import PriorityClass

# Sums of decimal fractions, such as ten times 0.1, differ from 1 by rounding.
_ROUNDING_TOLERANCE = 1e-9


def find_priority_problems(object_set: ObjectSet) -> Iterator[Problem]:
    """Yield each contradiction between customers, shares and classes.

    Parameters
    ----------
    object_set
        The objects of all files.

    Yields
    ------
    Problem
        A problem with the object to correct.
    """
    yield from chain(
        _shared_tokens(object_set),
        _repeated_shares(object_set),
        _oversold_services(object_set),
        _equal_ranks(object_set),
        _misplaced_deferrable_classes(object_set),
        _shares_below_common_class(object_set),
        _excessive_least_shares(object_set),
    )


def _shared_tokens(object_set: ObjectSet) -> Iterator[Problem]:
    taken: dict[str, str] = {}
    for customer in object_set.objects.customer:
        token = customer.token_sha256
        first = taken.setdefault(token, customer.name)
        if first != customer.name:
            remedy = f'give another token; customer {first} has this one'
            yield object_set.problem(customer, 'token_sha256', token, remedy)


def _repeated_shares(object_set: ObjectSet) -> Iterator[Problem]:
    for customer in object_set.objects.customer:
        taken: set[str] = set()
        for share in customer.shares:
            if share.service in taken:
                remedy = 'give one share for each service'
                yield object_set.problem(
                    customer, 'shares', share.service, remedy
                )
            taken.add(share.service)


def _oversold_services(object_set: ObjectSet) -> Iterator[Problem]:
    sold: dict[str, float] = defaultdict(float)
    for customer in object_set.objects.customer:
        for share in customer.shares:
            sold[share.service] += share.share
    for service in object_set.objects.service:
        total = sold[service.name]
        if total > 1 + _ROUNDING_TOLERANCE:
            percent = round(total * 100, 2)
            remedy = (
                f'customers have {percent} % of its slots; lower their shares '
                'to 100 % at most'
            )
            yield object_set.problem(service, 'share', percent / 100, remedy)


def _equal_ranks(object_set: ObjectSet) -> Iterator[Problem]:
    taken: dict[int, str] = {}
    for item in object_set.objects.priority_class:
        first = taken.setdefault(item.rank, item.name)
        if first != item.name:
            remedy = f'give another rank; priority_class {first} has this one'
            yield object_set.problem(item, 'rank', item.rank, remedy)


def _misplaced_deferrable_classes(object_set: ObjectSet) -> Iterator[Problem]:
    classes = object_set.objects.priority_class
    last = max(
        (item.rank for item in classes if not item.deferrable),
        default=-1,
    )
    for item in classes:
        if item.deferrable and item.rank <= last:
            remedy = f'give more than {last}; a deferrable class comes last'
            yield object_set.problem(item, 'rank', item.rank, remedy)


def _shares_below_common_class(object_set: ObjectSet) -> Iterator[Problem]:
    services = object_set.names('service')
    classes = object_set.names('priority_class')
    for customer in object_set.objects.customer:
        for share in customer.shares:
            service = services.get(share.service)
            paid = classes.get(share.priority_class)
            common = service and classes.get(service.common_class)
            if common and paid and _is_below_common_class(paid, common):
                remedy = (
                    'name a class that is served before or with '
                    f'{common.name}, the common class of {service.name}'
                )
                yield object_set.problem(customer, 'shares', paid.name, remedy)


def _is_below_common_class(paid: PriorityClass, common: PriorityClass) -> bool:
    return paid.rank > common.rank and not paid.deferrable


def _excessive_least_shares(object_set: ObjectSet) -> Iterator[Problem]:
    classes = object_set.objects.priority_class
    total = sum(item.least_share for item in classes)
    if total > 1 + _ROUNDING_TOLERANCE:
        most = max(classes, key=lambda item: item.least_share)
        remedy = f'the classes keep {round(total, 4)} of the slots; lower to 1'
        yield object_set.problem(most, 'least_share', most.least_share, remedy)
