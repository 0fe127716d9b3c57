"""What others want of a lease manager, or know about its targets."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName, TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._service_plan import ServicePlan


@dataclass(frozen=True, slots=True)
class TargetDraining:
    """An operator wants a target to be emptied, or no longer.

    The order stands in the head, for it is given once.
    """

    target: TargetName
    draining: bool = True


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target is leaving, by its own report or the platform's list.

    It does not stand in the head, for it is reported again and again.
    """

    target: TargetName
    is_leaving: bool = True


@dataclass(frozen=True, slots=True)
class TargetGone:
    """A target's VM was on the platform's list and no longer is."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class TargetDown:
    """The guard of a target without fencing cannot reach it, or can again."""

    target: TargetName
    down: bool = True


@dataclass(frozen=True, slots=True)
class GuardCandidates:
    """The daemons that may guard a target, the preferred one first.

    Parameters
    ----------
    target
        The target.
    daemons
        Who may.
    leaving
        Daemons that are leaving: a guard among them hands over to another.
    """

    target: TargetName
    daemons: tuple[DaemonName, ...]
    leaving: frozenset[DaemonName] = frozenset()


@dataclass(frozen=True, slots=True)
class MoveRequested:
    """The planner wants a range, or a part of one, at another target."""

    part: HashRange
    to: TargetName


@dataclass(frozen=True, slots=True)
class MergeRequested:
    """The planner wants adjacent ranges of one owner to become one."""

    span: HashRange


@dataclass(frozen=True, slots=True)
class PlanChanged:
    """A new configuration is in force."""

    plan: ServicePlan


# What others want of the manager, or know about its targets.
Hint = (
    TargetDraining
    | TargetLeaving
    | TargetGone
    | TargetDown
    | GuardCandidates
    | MoveRequested
    | MergeRequested
    | PlanChanged
)
