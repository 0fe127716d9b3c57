"""Where daemons run, and what an outsider notes of them."""

from dataclasses import dataclass

from laburnumyard.core import dissemination, membership
from laburnumyard.core.ids import DaemonName, DataCentre, Incarnation, Region


@dataclass(frozen=True, slots=True)
class Adoption:
    """A version that came into force at a daemon.

    Parameters
    ----------
    time
        When, in seconds.
    incarnation
        In which life of the daemon.
    name
        Which document.
    version
        Its version.
    source
        How the daemon knew of it.
    """

    time: float
    incarnation: int
    name: dissemination.DocumentName
    version: int
    source: dissemination.Source


class Observer:
    """What an outsider notes, whatever the daemons believe.

    Attributes
    ----------
    adoptions
        What came into force at each daemon, in order.
    decisions
        The time, the daemon and the effect of each log line.
    """

    def __init__(self) -> None:
        """Start with nothing noted."""
        self.adoptions: dict[DaemonName, list[Adoption]] = {}
        self.decisions: list[tuple[float, DaemonName, object]] = []


class FakePlatform:
    """The list of VMs, and which VMs are really lost.

    Parameters
    ----------
    identities
        The daemons on the list.
    """

    def __init__(self, identities: tuple[membership.Identity, ...]) -> None:
        """Start with a list that is right."""
        self.listed = {one.daemon: one for one in identities}
        self.is_reachable = True
        self.lost: set[DaemonName] = set()


@dataclass(frozen=True, slots=True)
class Layout:
    """Where daemons run.

    Parameters
    ----------
    regions
        How many data centres each region has.
    daemons
        How many daemons there are, spread evenly.
    """

    regions: tuple[int, ...]
    daemons: int

    def identities(self) -> tuple[membership.Identity, ...]:
        """Return every daemon."""
        places = tuple(
            (f'region-{region}', f'centre-{region}-{centre}')
            for region, centres in enumerate(self.regions)
            for centre in range(centres)
        )
        return tuple(
            _identity(number, *places[number % len(places)])
            for number in range(self.daemons)
        )


def _identity(number: int, region: str, centre: str) -> membership.Identity:
    high, low = divmod(number, 250)
    return membership.Identity(
        DaemonName(f'entry-{number:03}'),
        DataCentre(centre),
        Region(region),
        f'10.0.{high}.{low}:7000',
        Incarnation(1),
    )
