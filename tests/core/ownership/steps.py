"""The ownership steps of the test matrix during which faults are injected."""

from types import MappingProxyType

from laburnumyard.core import ownership
from tests.core.ownership.fleet import DATA_CENTRES, Fleet
from tests.support.matrix import Step

DATA_CENTRE = DATA_CENTRES[0]


def prepare(step: Step, fleet: Fleet) -> None:
    """Bring a fleet into the state in which the step can start."""
    if step is Step.JOIN:
        fleet.targets_in(DATA_CENTRE)[0].kill()
        fleet.run(3)


def begin_step(step: Step, fleet: Fleet) -> None:
    """Start a step in the scope of the first data centre."""
    _BEGINNINGS[step](fleet)


def is_done(step: Step, fleet: Fleet) -> bool:
    """Tell whether a step has completed."""
    return _ENDS[step](fleet)


def _renew(fleet: Fleet) -> None:
    """Do nothing: renewals are always running."""


def _move(fleet: Fleet) -> None:
    part = fleet.owners['target-0'][0]
    fleet.feed_all(ownership.MoveRequested(part, 'target-1'))


def _take_over(fleet: Fleet) -> None:
    manager = fleet.manager_of(DATA_CENTRE).name
    rivals = (
        daemon
        for daemon in fleet.daemons.values()
        if DATA_CENTRE in daemon.managers and daemon.name != manager
    )
    next(rivals).feed(DATA_CENTRE, ownership.TakeOver())


def _join(fleet: Fleet) -> None:
    fleet.targets_in(DATA_CENTRE)[0].start()


def _leave(fleet: Fleet) -> None:
    fleet.manager_of(DATA_CENTRE).leave()


def _drain(fleet: Fleet) -> None:
    fleet.feed_all(ownership.TargetDraining('target-0'))


def _is_served(fleet: Fleet) -> bool:
    return all(
        target.holder.live_ranges(target.clock)
        for target in fleet.targets.values()
        if target.name in fleet.owners
    )


def _is_back(fleet: Fleet) -> bool:
    return 'target-0' not in fleet.head.withdrawn


def _is_empty(fleet: Fleet) -> bool:
    return 'target-0' not in fleet.owners


_BEGINNINGS = MappingProxyType(
    {
        Step.RENEW: _renew,
        Step.MOVE: _move,
        Step.SEAL: _take_over,
        Step.TAKE_OVER: _take_over,
        Step.JOIN: _join,
        Step.LEAVE: _leave,
        Step.DRAIN: _drain,
    }
)
_ENDS = MappingProxyType(
    {
        Step.RENEW: _is_served,
        Step.MOVE: _is_served,
        Step.SEAL: _is_served,
        Step.TAKE_OVER: _is_served,
        Step.JOIN: _is_back,
        Step.LEAVE: _is_served,
        Step.DRAIN: _is_empty,
    }
)
STEPS = tuple(_BEGINNINGS)
