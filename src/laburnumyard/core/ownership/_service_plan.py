"""The configured key ranges and targets of one service."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

from laburnumyard.core.ids import (
    DataCentre,
    Seconds,
    ServiceName,
    TargetName,
)
from laburnumyard.core.key_hashing import HashRange, hash_position
from laburnumyard.schema._generated.objects import Fencing, KeyRange, Objects
from laburnumyard.schema._generated.objects import Target as TargetObject

DEFAULT_LONGEST_DEADLINE_S: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class FencedTarget:
    """A target that checks fencing tokens itself.

    Parameters
    ----------
    data_centre
        The data centre in which it runs.
    draining
        Whether its ranges must move away.
    slots
        How many requests it runs at once.
    """

    data_centre: DataCentre
    draining: bool = False
    slots: int = 1


@dataclass(frozen=True, slots=True)
class GuardedTarget:
    """A target without fencing; a daemon holds its grants.

    Parameters
    ----------
    data_centre
        The data centre in which it runs.
    draining
        Whether its ranges must move away.
    slots
        How many requests it runs at once.
    longest_deadline
        The longest time for which it may still be running a request after
        its guard has stopped sending, in seconds.
    """

    data_centre: DataCentre
    draining: bool = False
    slots: int = 1
    longest_deadline: Seconds = DEFAULT_LONGEST_DEADLINE_S


TargetKind = FencedTarget | GuardedTarget


@singledispatch
def needs_guard(kind: TargetKind) -> bool:
    """Tell whether a daemon must hold the grants of a target."""
    raise TypeError(f'target kind {kind!r} is unknown; register it')


@needs_guard.register
def _fenced_needs_guard(kind: FencedTarget) -> bool:
    return False


@needs_guard.register
def _guarded_needs_guard(kind: GuardedTarget) -> bool:
    return True


@singledispatch
def work_ends_by(kind: TargetKind, expires_by: Seconds) -> Seconds:
    """Return when requests that were sent under a grant have ended.

    Parameters
    ----------
    kind
        Whether the target checks fencing tokens or needs a guard.
    expires_by
        Upper bound on the expiry of the grant, in seconds.

    Returns
    -------
    Seconds
        The expiry itself for a target that checks fencing tokens, else the
        expiry plus the longest deadline.
    """
    raise TypeError(f'target kind {kind!r} is unknown; register it')


@work_ends_by.register
def _fenced_work_ends_by(kind: FencedTarget, expires_by: Seconds) -> Seconds:
    return expires_by


@work_ends_by.register
def _guarded_work_ends_by(kind: GuardedTarget, expires_by: Seconds) -> Seconds:
    return Seconds(expires_by + kind.longest_deadline)


@dataclass(frozen=True, slots=True)
class KeyRangePlan:
    """A part of the hash space and the targets that may own keys in it."""

    span: HashRange
    targets: tuple[TargetName, ...]


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """The configuration of one service.

    Parameters
    ----------
    service
        The name of the service.
    key_ranges
        The key ranges, in order of the hash space.
    targets
        The kind of each target.
    ranges_per_target
        How many ranges each target gets initially.
    """

    service: ServiceName
    key_ranges: tuple[KeyRangePlan, ...]
    targets: Mapping[TargetName, TargetKind]
    ranges_per_target: int = 8


def service_plan(
    objects: Objects,
    name: ServiceName,
    longest_deadline: Seconds,
) -> ServicePlan:
    """Extract the plan of one service from a validated configuration.

    Parameters
    ----------
    objects
        The whole configuration, already validated.
    name
        The name of the service.
    longest_deadline
        The longest deadline that a caller may request, in seconds.

    Returns
    -------
    ServicePlan
        The plan of the service.

    Raises
    ------
    KeyError
        If the configuration does not name the service.
    """
    services = {service.name: service for service in objects.service}
    key_ranges = [part for part in objects.key_range if part.service == name]
    spans = [_key_range_plan(part) for part in key_ranges]
    return ServicePlan(
        service=name,
        key_ranges=tuple(sorted(spans, key=lambda plan: plan.span)),
        targets={
            TargetName(target.name): _target_kind(target, longest_deadline)
            for target in objects.target
            if target.service == name
        },
        ranges_per_target=services[name].ranges_per_target,
    )


def _key_range_plan(key_range: KeyRange) -> KeyRangePlan:
    span = HashRange(
        hash_position(key_range.start), hash_position(key_range.stop)
    )
    names = tuple(TargetName(target.root) for target in key_range.targets)
    return KeyRangePlan(span, names)


def _target_kind(
    target: TargetObject,
    longest_deadline: Seconds,
) -> TargetKind:
    home = DataCentre(target.data_centre)
    if target.fencing is Fencing.none:
        return GuardedTarget(
            home,
            target.draining,
            target.slots,
            longest_deadline,
        )
    return FencedTarget(home, target.draining, target.slots)
