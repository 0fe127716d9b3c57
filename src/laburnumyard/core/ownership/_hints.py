"""Hints to a lease manager: requests of others, and reports on targets."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName, TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._service_plan import ServicePlan


@dataclass(frozen=True, slots=True)
class TargetDraining:
    """An operator orders a target to be drained, or withdraws the order.

    The order is stored in the head, because it is given only once.
    """

    target: TargetName
    draining: bool = True


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target is leaving, by its own report or the platform's list.

    It is not stored in the head, because it is reported repeatedly.
    """

    target: TargetName
    is_leaving: bool = True


@dataclass(frozen=True, slots=True)
class TargetGone:
    """A target's VM has disappeared from the platform's list."""

    target: TargetName


@dataclass(frozen=True, slots=True)
class TargetDown:
    """Whether the guard of a target without fencing cannot reach it."""

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
        The candidates in order of preference.
    leaving
        Leaving daemons; a guard among them hands over to another daemon.
    """

    target: TargetName
    daemons: tuple[DaemonName, ...]
    leaving: frozenset[DaemonName] = frozenset()


@dataclass(frozen=True, slots=True)
class MoveRequested:
    """The planner wants to move a range, or a part of it, to a target."""

    part: HashRange
    to: TargetName


@dataclass(frozen=True, slots=True)
class MergeRequested:
    """The planner wants to merge adjacent ranges of one owner."""

    span: HashRange


@dataclass(frozen=True, slots=True)
class PlanChanged:
    """A new configuration is in force."""

    plan: ServicePlan


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
