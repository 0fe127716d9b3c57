"""What the configuration says about one service's keys and targets."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

from laburnumyard.core.ids import (
    DataCentre,
    Seconds,
    ServiceName,
    TargetName,
)
from laburnumyard.core.keys import HashRange, place_of
from laburnumyard.schema._generated.objects import Fencing, KeyRange, Objects
from laburnumyard.schema._generated.objects import Target as TargetObject

LONGEST_DEADLINE: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class FencedTarget:
    """A target that checks fencing tokens itself.

    Parameters
    ----------
    data_centre
        Where it runs.
    draining
        Whether its ranges are to move away.
    slots
        How many requests it runs at once.
    """

    data_centre: DataCentre
    draining: bool = False
    slots: int = 1


@dataclass(frozen=True, slots=True)
class GuardedTarget:
    """A target that checks nothing; a daemon holds its grants.

    Parameters
    ----------
    data_centre
        Where it runs.
    draining
        Whether its ranges are to move away.
    slots
        How many requests it runs at once.
    longest_deadline
        The longest deadline of a request that it may still be running after
        its guard has stopped sending, in seconds.
    """

    data_centre: DataCentre
    draining: bool = False
    slots: int = 1
    longest_deadline: Seconds = LONGEST_DEADLINE


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
    """Return when work that was sent under an expired grant is over.

    Parameters
    ----------
    kind
        How the target checks grants.
    expires_by
        The bound on the end of the grant, in seconds.

    Returns
    -------
    Seconds
        For a target that checks grants, the end of the grant itself.
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
    """What the configuration says about one service.

    Parameters
    ----------
    service
        Its name.
    key_ranges
        In order of the hash space.
    targets
        The kind of each target.
    ranges_per_target
        How many ranges a target gets at first.
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
    """Pick what concerns one service out of a checked configuration.

    Parameters
    ----------
    objects
        The configuration, already checked as a whole.
    name
        The service.
    longest_deadline
        The longest deadline that a caller may name, in seconds.

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
    span = HashRange(place_of(key_range.start), place_of(key_range.stop))
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
