"""Members by name, and cached queries over their states."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from laburnumyard.core.ids import DaemonName, DataCentre, Region, TargetName
from laburnumyard.core.membership._local_events import Scope
from laburnumyard.core.membership._member import Identity, Member, MemberState
from laburnumyard.core.membership._roles import (
    READERS_PER_DATA_CENTRE,
    manager_order,
)
from laburnumyard.core.rendezvous_hashing import rank

Answer = TypeVar('Answer')


class Directory:
    """Members by name, with queries about liveness and roles.

    Query results are cached until a state changes, because every request runs
    these queries.

    Parameters
    ----------
    local_identity
        The daemon that owns the directory.

    Attributes
    ----------
    version
        Incremented with each change.
    is_leaving
        Whether this daemon is leaving.
    is_listed
        Whether a request for the VM list has completed or failed.
    """

    def __init__(self, local_identity: Identity) -> None:
        """Start with this daemon alone."""
        self.local_identity = local_identity
        self.is_leaving = False
        self.is_listed = False
        self.members: dict[DaemonName, Member] = {}
        self.version = 0
        self.cache: dict[object, object] = {}

    def note_change(self) -> None:
        """Increment the version and invalidate the cache."""
        self.version += 1
        self.cache.clear()

    def cached(self, key: object, compute: Callable[[], Answer]) -> Answer:
        """Return a query result, computed once per version."""
        if key not in self.cache:
            self.cache[key] = compute()
        return self.cache[key]

    def known_identities(self) -> Iterator[Identity]:
        """Yield all members that are not gone, including this daemon."""
        yield self.local_identity
        for member in self.members.values():
            if member.state is not MemberState.GONE:
                yield member.identity

    def live(self) -> tuple[Identity, ...]:
        """Return the live members, this daemon included unless it leaves."""
        return self.cached('live', self.compute_live)

    def compute_live(self) -> tuple[Identity, ...]:
        """Compute the live members."""
        others = tuple(
            member.identity
            for member in self.members.values()
            if member.state is MemberState.LIVE
        )
        return others if self.is_leaving else (self.local_identity, *others)

    def leaving(self) -> frozenset[DaemonName]:
        """Return the members that have announced their departure."""
        return self.cached(
            'leaving',
            lambda: frozenset(
                member.identity.daemon
                for member in self.members.values()
                if member.state is MemberState.LEAVING
            ),
        )

    def in_data_centre(self, data_centre: DataCentre) -> tuple[Identity, ...]:
        """Return the live members in a data centre."""
        return self.cached(
            ('in', data_centre),
            lambda: tuple(
                one for one in self.live() if one.data_centre == data_centre
            ),
        )

    def region_of(self, data_centre: DataCentre) -> Region | None:
        """Return the region of a data centre, or None if it has no members."""
        regions = (
            one.region
            for one in self.known_identities()
            if one.data_centre == data_centre
        )
        return next(regions, None)

    def dispatcher_of(
        self,
        target: TargetName,
        data_centre: DataCentre,
    ) -> DaemonName | None:
        """Return the dispatcher of a target, or None if no member is live."""
        return self.cached(
            ('dispatcher', target, data_centre),
            lambda: self.compute_dispatcher(target, data_centre),
        )

    def compute_dispatcher(
        self,
        target: TargetName,
        data_centre: DataCentre,
    ) -> DaemonName | None:
        """Compute the dispatcher: same data centre, else region, else any."""
        region = self.region_of(data_centre)
        near = tuple(one for one in self.live() if one.region == region)
        for group in (self.in_data_centre(data_centre), near, self.live()):
            names = [one.daemon for one in group]
            if names:
                return DaemonName(rank(f'dispatcher/{target}', names)[0])
        return None

    def managers_of(self, scope: Scope) -> tuple[DaemonName, ...]:
        """Return the live lease manager candidates of a scope, by priority."""
        return self.cached(scope, lambda: self.compute_managers(scope))

    def compute_managers(self, scope: Scope) -> tuple[DaemonName, ...]:
        """Compute the live lease manager candidates, by priority."""
        region = self.region_of(scope.data_centre)
        live = frozenset(one.daemon for one in self.live())
        order = manager_order(scope, region, self.known_identities())
        return tuple(daemon for daemon in order if daemon in live)

    def readers(self, data_centre: DataCentre) -> tuple[DaemonName, ...]:
        """Return the daemons that read the store for a data centre.

        Empty until the VM list has been requested. Listed members without any
        contact yet are ranked too, so that only a few daemons read the store
        when all start at once.
        """
        if not self.is_listed:
            return ()
        expected = (
            member.identity
            for member in self.members.values()
            if member.is_expected
        )
        names = [
            one.daemon
            for one in (*self.live(), *expected)
            if one.data_centre == data_centre
        ]
        ranked = rank(f'reader/{data_centre}', names)
        return tuple(map(DaemonName, ranked[:READERS_PER_DATA_CENTRE]))
