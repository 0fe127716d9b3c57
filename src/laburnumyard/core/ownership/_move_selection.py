"""Which range of the busiest target moves where."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import chain

from laburnumyard.core.ids import TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._load_table import Heat
from laburnumyard.core.ownership._service_plan import KeyRangePlan, ServicePlan


@dataclass(frozen=True, slots=True)
class Candidate:
    """A move and what it would make of the busier of its two targets.

    Parameters
    ----------
    peak
        The higher utilisation of both targets after the move.
    part
        What moves.
    to
        The new owner.
    busy
        The slots that move.
    """

    peak: float
    part: HashRange
    to: TargetName
    busy: float


def hottest(
    busy: Mapping[TargetName, float],
    weights: Mapping[TargetName, float],
) -> TargetName:
    """Return the target with the highest utilisation."""
    return max(sorted(busy), key=lambda name: busy[name] / weights[name])


def best_move(
    heats: Iterable[Heat],
    source: TargetName,
    busy: Mapping[TargetName, float],
    weights: Mapping[TargetName, float],
    plan: ServicePlan,
) -> Candidate | None:
    """Return the move away from a target that leaves the lowest peak.

    Parameters
    ----------
    heats
        The ranges of the target.
    source
        The target.
    busy
        The busy slots of each target.
    weights
        The slots that count of each target.
    plan
        Which targets may own which ranges.

    Returns
    -------
    Candidate or None
        None if no other target may own any of the ranges.
    """
    spans = [
        _Span(key_range, _receivers(key_range, source, busy, weights))
        for key_range in plan.key_ranges
    ]
    starts = [key_range.span.start for key_range in plan.key_ranges]
    best: Candidate | None = None
    for piece in chain.from_iterable(map(pieces, heats)):
        span = spans[bisect_right(starts, piece.part.start) - 1]
        if piece.part.stop > span.key_range.span.stop:
            continue
        for to in span.receivers:
            candidate = _candidate(piece, to, busy, weights)
            if best is None or _rank(candidate) < _rank(best):
                best = candidate
    return best


def pieces(heat: Heat) -> list[Heat]:
    """Return what of a range can move: all of it, or its busiest key."""
    whole = [heat]
    if heat.hot_key is None or heat.part.stop - heat.part.start == 1:
        return whole
    key = HashRange(heat.hot_key, heat.hot_key + 1)
    return [*whole, Heat(key, heat.target, heat.hot_busy)]


@dataclass(frozen=True, slots=True)
class _Span:
    key_range: KeyRangePlan
    receivers: tuple[TargetName, ...]


def _receivers(
    key_range: KeyRangePlan,
    source: TargetName,
    busy: Mapping[TargetName, float],
    weights: Mapping[TargetName, float],
) -> tuple[TargetName, ...]:
    # Of targets with as many slots, the least busy one is always the best, so
    # that no other need be tried for each range.
    least: dict[float, tuple[float, TargetName]] = {}
    for name in key_range.targets:
        if name == source or name not in weights:
            continue
        weight = weights[name]
        mine = (busy[name], name)
        least[weight] = min(least.get(weight, mine), mine)
    return tuple(name for _, name in least.values())


def _candidate(
    piece: Heat,
    to: TargetName,
    busy: Mapping[TargetName, float],
    weights: Mapping[TargetName, float],
) -> Candidate:
    source = piece.target
    left = (busy[source] - piece.busy) / weights[source]
    grown = (busy[to] + piece.busy) / weights[to]
    return Candidate(max(left, grown), piece.part, to, piece.busy)


def _rank(candidate: Candidate) -> tuple[float, HashRange, TargetName]:
    return (candidate.peak, candidate.part, candidate.to)
