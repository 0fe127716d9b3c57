"""Checks of customers, their paid shares and priority classes."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import chain

from laburnumyard.core.configuration._catalogue import Catalogue
from laburnumyard.core.problems import Problem
from laburnumyard.schema._generated.objects import PriorityClass

# Sums of written fractions, such as ten times 0.1, miss 1 by rounding.
_ROUNDING = 1e-9


def find_priority_problems(catalogue: Catalogue) -> Iterator[Problem]:
    """Yield each contradiction between customers, shares and classes.

    Parameters
    ----------
    catalogue
        The objects of all files.

    Yields
    ------
    Problem
        With the object to mend.
    """
    yield from chain(
        _shared_tokens(catalogue),
        _repeated_shares(catalogue),
        _oversold_services(catalogue),
        _equal_ranks(catalogue),
        _hasty_classes(catalogue),
        _worthless_shares(catalogue),
        _kept_shares(catalogue),
    )


def _shared_tokens(catalogue: Catalogue) -> Iterator[Problem]:
    taken: dict[str, str] = {}
    for customer in catalogue.objects.customer:
        token = customer.token_sha256
        first = taken.setdefault(token, customer.name)
        if first != customer.name:
            remedy = f'give another token; customer {first} has this one'
            yield catalogue.problem(customer, 'token_sha256', token, remedy)


def _repeated_shares(catalogue: Catalogue) -> Iterator[Problem]:
    for customer in catalogue.objects.customer:
        taken: set[str] = set()
        for share in customer.shares:
            if share.service in taken:
                remedy = 'give one share for each service'
                yield catalogue.problem(
                    customer, 'shares', share.service, remedy
                )
            taken.add(share.service)


def _oversold_services(catalogue: Catalogue) -> Iterator[Problem]:
    sold: dict[str, float] = defaultdict(float)
    for customer in catalogue.objects.customer:
        for share in customer.shares:
            sold[share.service] += share.share
    for service in catalogue.objects.service:
        total = sold[service.name]
        if total > 1 + _ROUNDING:
            percent = round(total * 100, 2)
            remedy = (
                f'customers have {percent} % of its slots; lower their shares '
                'to 100 % at most'
            )
            yield catalogue.problem(service, 'share', percent / 100, remedy)


def _equal_ranks(catalogue: Catalogue) -> Iterator[Problem]:
    taken: dict[int, str] = {}
    for item in catalogue.objects.priority_class:
        first = taken.setdefault(item.rank, item.name)
        if first != item.name:
            remedy = f'give another rank; priority_class {first} has this one'
            yield catalogue.problem(item, 'rank', item.rank, remedy)


def _hasty_classes(catalogue: Catalogue) -> Iterator[Problem]:
    classes = catalogue.objects.priority_class
    last = max(
        (item.rank for item in classes if not item.deferrable),
        default=-1,
    )
    for item in classes:
        if item.deferrable and item.rank <= last:
            remedy = f'give more than {last}; a deferrable class comes last'
            yield catalogue.problem(item, 'rank', item.rank, remedy)


def _worthless_shares(catalogue: Catalogue) -> Iterator[Problem]:
    services = catalogue.names('service')
    classes = catalogue.names('priority_class')
    for customer in catalogue.objects.customer:
        for share in customer.shares:
            service = services.get(share.service)
            paid = classes.get(share.priority_class)
            common = service and classes.get(service.common_class)
            if common and paid and _is_worthless(paid, common):
                remedy = (
                    'name a class that is served before or with '
                    f'{common.name}, the common class of {service.name}'
                )
                yield catalogue.problem(customer, 'shares', paid.name, remedy)


def _is_worthless(paid: PriorityClass, common: PriorityClass) -> bool:
    return paid.rank > common.rank and not paid.deferrable


def _kept_shares(catalogue: Catalogue) -> Iterator[Problem]:
    classes = catalogue.objects.priority_class
    total = sum(item.least_share for item in classes)
    if total > 1 + _ROUNDING:
        most = max(classes, key=lambda item: item.least_share)
        remedy = f'the classes keep {round(total, 4)} of the slots; lower to 1'
        yield catalogue.problem(most, 'least_share', most.least_share, remedy)
