"""Selects the range to move from the busiest target, and its new owner."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import chain

from laburnumyard.core.ids import TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._load_table import SmoothedLoad
from laburnumyard.core.ownership._service_plan import KeyRangePlan, ServicePlan


@dataclass(frozen=True, slots=True)
class MoveCandidate:
    """A possible move and the peak utilisation that it leads to.

    Parameters
    ----------
    peak_utilisation
        The higher utilisation of the two targets after the move.
    part
        The range that moves.
    to
        The new owner.
    busy
        The busy slots that move.
    """

    peak_utilisation: float
    part: HashRange
    to: TargetName
    busy: float


def busiest_target(
    busy: Mapping[TargetName, float],
    effective_slots: Mapping[TargetName, float],
) -> TargetName:
    """Return the target with the highest utilisation."""
    return max(
        sorted(busy), key=lambda name: busy[name] / effective_slots[name]
    )


def best_move(
    smoothed_loads: Iterable[SmoothedLoad],
    source: TargetName,
    busy: Mapping[TargetName, float],
    effective_slots: Mapping[TargetName, float],
    plan: ServicePlan,
) -> MoveCandidate | None:
    """Return the move away from a target that leads to the lowest peak.

    Parameters
    ----------
    smoothed_loads
        The loads of the target's ranges.
    source
        The target to move a range away from.
    busy
        The busy slots of each target.
    effective_slots
        The slots of each target, ramped up for new ones.
    plan
        The plan, which lists the targets that may own each key range.

    Returns
    -------
    Candidate or None
        ``None`` if no other target may own any of the ranges.
    """
    spans = [
        _KeyRangeCandidates(
            key_range,
            _candidate_targets(key_range, source, busy, effective_slots),
        )
        for key_range in plan.key_ranges
    ]
    starts = [key_range.span.start for key_range in plan.key_ranges]
    best: MoveCandidate | None = None
    for piece in chain.from_iterable(map(movable_pieces, smoothed_loads)):
        span = spans[bisect_right(starts, piece.part.start) - 1]
        if piece.part.stop > span.key_range.span.stop:
            continue
        for to in span.candidate_targets:
            candidate = _build_candidate(piece, to, busy, effective_slots)
            if best is None or _rank(candidate) < _rank(best):
                best = candidate
    return best


def movable_pieces(range_load: SmoothedLoad) -> list[SmoothedLoad]:
    """Return the parts of a range that can move: all of it, or its hot key."""
    whole = [range_load]
    if (
        range_load.hot_key is None
        or range_load.part.stop - range_load.part.start == 1
    ):
        return whole
    key = HashRange(range_load.hot_key, range_load.hot_key + 1)
    return [
        *whole,
        SmoothedLoad(key, range_load.target, range_load.hot_key_busy),
    ]


@dataclass(frozen=True, slots=True)
class _KeyRangeCandidates:
    key_range: KeyRangePlan
    candidate_targets: tuple[TargetName, ...]


def _candidate_targets(
    key_range: KeyRangePlan,
    source: TargetName,
    busy: Mapping[TargetName, float],
    effective_slots: Mapping[TargetName, float],
) -> tuple[TargetName, ...]:
    # Among targets with equal slots the least busy one is always best, so only
    # that one is tried for each range.
    least_busy: dict[float, tuple[float, TargetName]] = {}
    for name in key_range.targets:
        if name == source or name not in effective_slots:
            continue
        slots = effective_slots[name]
        candidate = (busy[name], name)
        least_busy[slots] = min(least_busy.get(slots, candidate), candidate)
    return tuple(name for _, name in least_busy.values())


def _build_candidate(
    piece: SmoothedLoad,
    to: TargetName,
    busy: Mapping[TargetName, float],
    effective_slots: Mapping[TargetName, float],
) -> MoveCandidate:
    source = piece.target
    source_utilisation = (busy[source] - piece.busy) / effective_slots[source]
    receiver_utilisation = (busy[to] + piece.busy) / effective_slots[to]
    return MoveCandidate(
        max(source_utilisation, receiver_utilisation),
        piece.part,
        to,
        piece.busy,
    )


def _rank(candidate: MoveCandidate) -> tuple[float, HashRange, TargetName]:
    return (candidate.peak_utilisation, candidate.part, candidate.to)
