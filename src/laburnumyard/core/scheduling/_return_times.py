"""When refused callers should return, so that what returns finds room.

Room is reserved in time slices, from what first comers are not expected to
need. A reservation is taken by the next caller that returns with its rank:
callers are not recognized one by one.
"""

import math
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._demand_rates import DemandRates
from laburnumyard.core.scheduling._waiting_queue import ANY_TARGET

# Length of a slice, in seconds: shorter than the runs of most kinds.
SLICE_S = 0.05
# Callers may return this much before or after their time, in seconds: networks
# and timers are not exact.
PUNCTUALITY_S = 0.15
# Returns without reserved room are spread by multiples of this fraction of the
# span; multiples of the golden ratio never come close to each other.
SPREAD_STEP = (math.sqrt(5) - 1) / 2
# Rank and run time of a reservation.
Place = tuple[int, float]


@dataclass(frozen=True, slots=True)
class Claim:
    """A refused request that asks for room.

    Parameters
    ----------
    rank
        Its rank.
    seconds
        Run time that it needs, in seconds.
    earliest, latest
        When it may return, in seconds.
    in_time
        When it has to start to end in time, in seconds.
    """

    rank: int
    seconds: float
    earliest: float
    latest: float
    in_time: float


@dataclass(slots=True)
class ReturnTimes:
    """Reserved room of a pool.

    Attributes
    ----------
    demands
        What first comers need.
    reserved
        Ranks and run times, in seconds, of each slice.
    unplaced
        Number of callers without reserved room.
    """

    demands: DemandRates = field(default_factory=DemandRates)
    reserved: dict[int, list[Place]] = field(default_factory=dict)
    unplaced: int = 0

    def reserve(self, claim: Claim, capacity: float, now: Seconds) -> float:
        """Reserve room and return the time at which it is free, in seconds.

        Parameters
        ----------
        claim
            What asks for room.
        capacity
            Capacity of the pool, in slot seconds per second.
        now
            The current time, in seconds.
        """
        spare = SLICE_S * (capacity - self.demands.total(ANY_TARGET, now))
        first = math.ceil(claim.earliest / SLICE_S)
        last = math.floor(claim.latest / SLICE_S)
        for part in range(first, last + 1):
            places = self.reserved.get(part, [])
            taken = sum(seconds for _, seconds in places)
            if taken + claim.seconds <= spare:
                places.append((claim.rank, claim.seconds))
                self.reserved[part] = places
                return part * SLICE_S
        return self._spread(claim)

    def _spread(self, claim: Claim) -> float:
        """Return a time for a caller without reserved room, in seconds.

        Callers return spread over the time in which a response would still be
        in time, and at the earliest if there is none.
        """
        self.unplaced += 1
        span = min(claim.latest, claim.in_time) - claim.earliest
        part = math.modf(self.unplaced * SPREAD_STEP)[0]
        return claim.earliest + part * max(0, span)

    def take(self, rank: int, now: Seconds) -> bool:
        """Take reserved room for a caller that returns now.

        Returns
        -------
        bool
            Whether room was reserved for a caller of its rank about now.
        """
        first = math.floor((now - PUNCTUALITY_S) / SLICE_S)
        last = math.ceil((now + PUNCTUALITY_S) / SLICE_S)
        for part in range(first, last + 1):
            places = self.reserved.get(part, [])
            for place in places:
                if place[0] == rank:
                    places.remove(place)
                    return True
        return False

    def forget_past(self, now: Seconds) -> None:
        """Forget reservations that nobody has taken in time."""
        oldest = math.floor((now - PUNCTUALITY_S) / SLICE_S)
        past = [part for part in self.reserved if part < oldest]
        for part in past:
            self.reserved.pop(part)
