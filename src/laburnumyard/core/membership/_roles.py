"""Deterministic role assignment by rendezvous hashing over the members."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, zip_longest

from laburnumyard.core.ids import DaemonName, DataCentre, Region
from laburnumyard.core.membership._local_events import Scope
from laburnumyard.core.membership._member import Identity
from laburnumyard.core.rendezvous_hashing import rank

READERS_PER_DATA_CENTRE = 2


def manager_order(
    scope: Scope,
    region: Region | None,
    members: Iterable[Identity],
) -> tuple[DaemonName, ...]:
    """Return the lease manager candidates of a scope by priority.

    Parameters
    ----------
    scope
        The scope; members in its data centre are excluded.
    region
        The region of the scope's data centre; its members come first.
    members
        All known members, including suspected ones, so that a failure does not
        change the relative order of the others.

    Returns
    -------
    tuple of DaemonName
        Consecutive candidates are in different data centres while several are
        available, so that the failure of one data centre never takes both a
        lease manager and its deputy.
    """
    role = f'manager/{scope.service}/{scope.data_centre}'
    near: dict[DataCentre, list[DaemonName]] = defaultdict(list)
    far: dict[DataCentre, list[DaemonName]] = defaultdict(list)
    for member in members:
        if member.data_centre != scope.data_centre:
            side = near if member.region == region else far
            side[member.data_centre].append(member.daemon)
    return (*_interleave(role, near), *_interleave(role, far))


def _interleave(
    role: str,
    names: Mapping[DataCentre, Sequence[DaemonName]],
) -> Iterator[DaemonName]:
    ranked = [rank(role, names[place]) for place in rank(role, names)]
    rounds = zip_longest(*ranked)
    return (
        DaemonName(name)
        for name in chain.from_iterable(rounds)
        if name is not None
    )


def watchers_of(
    watched: Identity,
    others: Iterable[Identity],
    near: int,
) -> tuple[DaemonName, ...]:
    """Return the daemons that monitor the heartbeats of a member.

    Parameters
    ----------
    watched
        The monitored member.
    others
        The live members.
    near
        Number of watchers in the region of the member.

    Returns
    -------
    tuple of DaemonName
        At most `near` in its own region and one in every other region, so that
        both sides of a network partition between regions detect a failure.
    """
    names: dict[Region, list[DaemonName]] = defaultdict(list)
    for other in others:
        if other.daemon != watched.daemon:
            names[other.region].append(other.daemon)
    role = f'watch/{watched.daemon}'
    chosen: list[str] = []
    for region in sorted(names):
        count = near if region == watched.region else 1
        chosen.extend(rank(role, names[region])[:count])
    return tuple(map(DaemonName, chosen))
