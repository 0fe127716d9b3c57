"""Faults of the test matrix, each with its start and its end."""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

from tests.core.ownership.fleet import Fleet
from tests.support.matrix import Fault

SLOW_S = 0.7


@dataclass(frozen=True)
class ActiveFault:
    """A fault in progress, and how to end it."""

    end: Callable[[], None]


def start_fault(fault: Fault, fleet: Fleet, data_centre: str) -> ActiveFault:
    """Start a fault of the manager, a target or the store of a scope."""
    return _BEGINNINGS[fault](fleet, data_centre)


def _cut(fleet: Fleet, data_centre: str) -> ActiveFault:
    manager = fleet.manager_of(data_centre)
    fleet.world.cut(manager.name, data_centre)
    return ActiveFault(lambda: fleet.world.heal(manager.name, data_centre))


def isolate_manager(fleet: Fleet, data_centre: str) -> ActiveFault:
    """Cut the manager of a scope off from all but its targets."""
    manager = fleet.manager_of(data_centre)
    others = {'store', *fleet.daemons} - {manager.name}
    for name in others:
        fleet.world.cut(manager.name, name)

    def end():
        for name in others:
            fleet.world.heal(manager.name, name)

    return ActiveFault(end)


def _one_way_cut(fleet: Fleet, data_centre: str) -> ActiveFault:
    manager = fleet.manager_of(data_centre)
    fleet.world.cut(data_centre, manager.name, both_ways=False)
    return ActiveFault(lambda: fleet.world.heal(manager.name, data_centre))


def _silent(fleet: Fleet, data_centre: str) -> ActiveFault:
    manager = fleet.manager_of(data_centre)
    target = fleet.targets_in(data_centre)[0]
    fleet.world.cut(manager.name, target.name, both_ways=False)
    return ActiveFault(lambda: fleet.world.heal(manager.name, target.name))


def _pause(fleet: Fleet, data_centre: str) -> ActiveFault:
    manager = fleet.manager_of(data_centre)
    manager.pause()
    return ActiveFault(manager.resume)


def _kill(fleet: Fleet, data_centre: str) -> ActiveFault:
    manager = fleet.manager_of(data_centre)
    manager.kill()
    return ActiveFault(manager.start)


def _freeze(fleet: Fleet, data_centre: str) -> ActiveFault:
    target = fleet.targets_in(data_centre)[0]
    target.pause()
    return ActiveFault(target.resume)


def _store_down(fleet: Fleet, data_centre: str) -> ActiveFault:
    fleet.store.is_down = True
    return ActiveFault(lambda: setattr(fleet.store, 'is_down', False))


def _store_slow(fleet: Fleet, data_centre: str) -> ActiveFault:
    fleet.store.delay = SLOW_S
    return ActiveFault(lambda: setattr(fleet.store, 'delay', 0))


def _answers_lost(fleet: Fleet, data_centre: str) -> ActiveFault:
    fleet.store.loses_answers = True
    return ActiveFault(lambda: setattr(fleet.store, 'loses_answers', False))


_BEGINNINGS = MappingProxyType(
    {
        Fault.CUT: _cut,
        Fault.ONE_WAY_CUT: _one_way_cut,
        Fault.PAUSE: _pause,
        Fault.KILL: _kill,
        Fault.TARGET_FREEZE: _freeze,
        Fault.STORE_DOWN: _store_down,
        Fault.STORE_SLOW: _store_slow,
        Fault.WRITE_ANSWER_LOST: _answers_lost,
        Fault.LEASE_LAPSED: _pause,
        Fault.SILENT_CONNECTION: _silent,
    }
)
FAULTS = tuple(_BEGINNINGS)
