"""Chooses the owners of ranges, initially and after a loss."""

from collections.abc import Collection

from laburnumyard.core.ids import TargetName
from laburnumyard.core.key_hashing import HashRange, split_evenly
from laburnumyard.core.ownership._ranges import owned_range
from laburnumyard.core.ownership._service_plan import KeyRangePlan, ServicePlan
from laburnumyard.schema._generated.messages import Assignment, OwnedRange


def initial_assignment(plan: ServicePlan) -> Assignment:
    """Distribute the key ranges of a service evenly over their targets.

    Parameters
    ----------
    plan
        The configured key ranges and targets.

    Returns
    -------
    Assignment
        ``ranges_per_target`` ranges for each target of a key range, in order
        of the hash space. Draining targets get ranges only where all targets
        are draining.
    """
    ranges: list[OwnedRange] = []
    for key_range in plan.key_ranges:
        ranges.extend(_split_among_targets(plan, key_range))
    return Assignment(plan.service, tuple(ranges))


def choose_owners(
    assignment: Assignment,
    parts: Collection[HashRange],
    plan: ServicePlan,
    available: Collection[TargetName],
) -> dict[HashRange, TargetName]:
    """Choose new owners for ranges that must move.

    Parameters
    ----------
    assignment
        The assignment before the change.
    parts
        The ranges to place.
    plan
        The configured key ranges and targets.
    available
        The targets that can take ranges.

    Returns
    -------
    dict
        The new owner of each part: the allowed target that owns the smallest
        share of the hash space. A part without such a target is omitted.
    """
    if not parts:
        return {}
    loads = _owned_sizes(assignment)
    chosen: dict[HashRange, TargetName] = {}
    for part in sorted(parts):
        allowed = _allowed_targets(plan, part)
        candidates = [name for name in allowed if name in available]
        if not candidates:
            continue
        target = min((loads.get(name, 0), name) for name in candidates)[1]
        loads[target] = loads.get(target, 0) + part.stop - part.start
        chosen[part] = target
    return chosen


def may_own(plan: ServicePlan, target: TargetName, part: HashRange) -> bool:
    """Tell whether the configuration allows a target to own a range."""
    return target in _allowed_targets(plan, part)


def _split_among_targets(
    plan: ServicePlan, key_range: KeyRangePlan
) -> list[OwnedRange]:
    staying = [
        name for name in key_range.targets if not plan.targets[name].draining
    ]
    targets = staying or list(key_range.targets)
    parts = split_evenly(key_range.span, len(targets) * plan.ranges_per_target)
    return [
        owned_range(part, targets[index % len(targets)])
        for index, part in enumerate(parts)
    ]


def _allowed_targets(
    plan: ServicePlan, part: HashRange
) -> tuple[TargetName, ...]:
    for key_range in plan.key_ranges:
        span = key_range.span
        if span.start <= part.start and part.stop <= span.stop:
            return key_range.targets
    return ()


def _owned_sizes(assignment: Assignment) -> dict[TargetName, int]:
    sizes: dict[TargetName, int] = {}
    for owned in assignment.ranges:
        name = TargetName(owned.target)
        sizes[name] = sizes.get(name, 0) + owned.last + 1 - owned.start
    return sizes
