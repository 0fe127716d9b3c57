"""All members by name, and the answers that follow from their states."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from laburnumyard.core.ids import DaemonName, DataCentre, Region, TargetName
from laburnumyard.core.membership._inputs import Scope
from laburnumyard.core.membership._member import Identity, Member, MemberState
from laburnumyard.core.membership._roles import (
    READERS_PER_DATA_CENTRE,
    manager_order,
)
from laburnumyard.core.rendezvous import rank

Found = TypeVar('Found')


class Directory:
    """All members by name.

    Answers are kept until a state changes, as they are asked for with each
    request.

    Parameters
    ----------
    myself
        The daemon that keeps the directory.

    Attributes
    ----------
    version
        Rises with each change.
    is_leaving
        Whether this daemon leaves.
    is_listed
        Whether the VM list has been asked for, with or without an answer.
    """

    def __init__(self, myself: Identity) -> None:
        """Start with this daemon alone."""
        self.myself = myself
        self.is_leaving = False
        self.is_listed = False
        self.members: dict[DaemonName, Member] = {}
        self.version = 0
        self.answers: dict[object, object] = {}

    def note_change(self) -> None:
        """Forget the answers that were worked out before a change."""
        self.version += 1
        self.answers.clear()

    def recall(self, key: object, find: Callable[[], Found]) -> Found:
        """Return an answer, worked out once for each version."""
        if key not in self.answers:
            self.answers[key] = find()
        return self.answers[key]

    def known(self) -> Iterator[Identity]:
        """Yield everyone who is not gone, this daemon included."""
        yield self.myself
        for member in self.members.values():
            if member.state is not MemberState.GONE:
                yield member.identity

    def live(self) -> tuple[Identity, ...]:
        """Return the live members, this daemon included unless it leaves."""
        return self.recall('live', self.find_live)

    def find_live(self) -> tuple[Identity, ...]:
        """Work out the live members."""
        others = tuple(
            member.identity
            for member in self.members.values()
            if member.state is MemberState.LIVE
        )
        return others if self.is_leaving else (self.myself, *others)

    def leaving(self) -> frozenset[DaemonName]:
        """Return the members that have said that they leave."""
        return self.recall(
            'leaving',
            lambda: frozenset(
                member.identity.daemon
                for member in self.members.values()
                if member.state is MemberState.LEAVING
            ),
        )

    def in_data_centre(self, data_centre: DataCentre) -> tuple[Identity, ...]:
        """Return the live members in a data centre."""
        return self.recall(
            ('in', data_centre),
            lambda: tuple(
                one for one in self.live() if one.data_centre == data_centre
            ),
        )

    def region_of(self, data_centre: DataCentre) -> Region | None:
        """Return the region of a data centre, or None if nobody is there."""
        regions = (
            one.region for one in self.known() if one.data_centre == data_centre
        )
        return next(regions, None)

    def dispatcher_of(
        self,
        target: TargetName,
        data_centre: DataCentre,
    ) -> DaemonName | None:
        """Return who dispatches to a target, or None if nobody is live."""
        return self.recall(
            ('dispatcher', target, data_centre),
            lambda: self.find_dispatcher(target, data_centre),
        )

    def find_dispatcher(
        self,
        target: TargetName,
        data_centre: DataCentre,
    ) -> DaemonName | None:
        """Work out who dispatches: from the data centre, else the region."""
        region = self.region_of(data_centre)
        near = tuple(one for one in self.live() if one.region == region)
        for group in (self.in_data_centre(data_centre), near, self.live()):
            names = [one.daemon for one in group]
            if names:
                return DaemonName(rank(f'dispatcher/{target}', names)[0])
        return None

    def managers_of(self, scope: Scope) -> tuple[DaemonName, ...]:
        """Return the live members that may manage a scope, the first first."""
        return self.recall(scope, lambda: self.find_managers(scope))

    def find_managers(self, scope: Scope) -> tuple[DaemonName, ...]:
        """Work out the live members in the scope's order."""
        region = self.region_of(scope.data_centre)
        live = frozenset(one.daemon for one in self.live())
        order = manager_order(scope, region, self.known())
        return tuple(daemon for daemon in order if daemon in live)

    def readers(self, data_centre: DataCentre) -> tuple[DaemonName, ...]:
        """Return who reads the store for a data centre.

        Nobody, before the VM list has been asked for; and members that nobody
        has heard yet count, so that of all daemons that start at once only a
        few read.
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
