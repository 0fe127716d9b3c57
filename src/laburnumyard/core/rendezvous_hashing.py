"""Rendezvous hashing: role assignment without an election."""

from collections.abc import Iterable

import xxhash


def rank(role: str, members: Iterable[str]) -> tuple[str, ...]:
    """Order members by their hash weight for a role, the lowest first.

    Parameters
    ----------
    role
        The name of the role, such as ``dispatcher/catalogue-1``.
    members
        The names to order.

    Returns
    -------
    tuple of str
        The same names. Removing one keeps the order of the others.

    Examples
    --------
    >>> rank('planner/orders', ['a']) == ('a',)
    True
    """
    return tuple(sorted(members, key=lambda name: _weight(role, name)))


def _weight(role: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{role}\n{name}'.encode()), name
