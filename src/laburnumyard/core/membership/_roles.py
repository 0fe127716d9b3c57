"""Which members take which role, in an order that all work out alike."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, zip_longest

from laburnumyard.core.ids import DaemonName, DataCentre, Region
from laburnumyard.core.membership._inputs import Scope
from laburnumyard.core.membership._member import Identity
from laburnumyard.core.rendezvous import rank

READERS_PER_DATA_CENTRE = 2


def manager_order(
    scope: Scope,
    region: Region | None,
    members: Iterable[Identity],
) -> tuple[DaemonName, ...]:
    """Order the members that may manage a scope.

    Parameters
    ----------
    scope
        The scope; members in its data centre are left out.
    region
        The region of the scope's data centre; its members come first.
    members
        All known members, the suspected ones too, so that a loss changes no
        place in the order.

    Returns
    -------
    tuple of DaemonName
        Neighbours in the order lie in different data centres as long as there
        are several, so that the loss of one never takes a lease manager and
        its deputy together.
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
    """Return who notices the silence of a member.

    Parameters
    ----------
    watched
        The member.
    others
        The live members.
    near
        How many watchers there are in the region of the member.

    Returns
    -------
    tuple of DaemonName
        At most `near` in its own region and one in each other, so that each
        side of a cut between regions notices.
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
