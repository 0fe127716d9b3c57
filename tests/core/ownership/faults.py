"""The faults of the brief, each with its beginning and its end."""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

from tests.core.ownership.fleet import Fleet
from tests.support.matrix import Fault

SLOW_S = 0.7


@dataclass(frozen=True)
class Running:
    """A fault that has begun."""

    end: Callable[[], None]


def begin(fault: Fault, fleet: Fleet, place: str) -> Running:
    """Let a fault hit the manager, the targets or the store of a scope."""
    return _BEGINNINGS[fault](fleet, place)


def _cut(fleet: Fleet, place: str) -> Running:
    manager = fleet.manager_of(place)
    fleet.world.cut(manager.name, place)
    return Running(lambda: fleet.world.heal(manager.name, place))


def exile(fleet: Fleet, place: str) -> Running:
    """Cut a manager off from all but its targets."""
    manager = fleet.manager_of(place)
    others = {'store', *fleet.daemons} - {manager.name}
    for name in others:
        fleet.world.cut(manager.name, name)

    def end():
        for name in others:
            fleet.world.heal(manager.name, name)

    return Running(end)


def _one_way_cut(fleet: Fleet, place: str) -> Running:
    manager = fleet.manager_of(place)
    fleet.world.cut(place, manager.name, both_ways=False)
    return Running(lambda: fleet.world.heal(manager.name, place))


def _silent(fleet: Fleet, place: str) -> Running:
    manager = fleet.manager_of(place)
    target = fleet.targets_in(place)[0]
    fleet.world.cut(manager.name, target.name, both_ways=False)
    return Running(lambda: fleet.world.heal(manager.name, target.name))


def _pause(fleet: Fleet, place: str) -> Running:
    manager = fleet.manager_of(place)
    manager.pause()
    return Running(manager.resume)


def _kill(fleet: Fleet, place: str) -> Running:
    manager = fleet.manager_of(place)
    manager.kill()
    return Running(manager.start)


def _freeze(fleet: Fleet, place: str) -> Running:
    target = fleet.targets_in(place)[0]
    target.pause()
    return Running(target.resume)


def _store_down(fleet: Fleet, place: str) -> Running:
    fleet.store.is_down = True
    return Running(lambda: setattr(fleet.store, 'is_down', False))


def _store_slow(fleet: Fleet, place: str) -> Running:
    fleet.store.delay = SLOW_S
    return Running(lambda: setattr(fleet.store, 'delay', 0))


def _answers_lost(fleet: Fleet, place: str) -> Running:
    fleet.store.loses_answers = True
    return Running(lambda: setattr(fleet.store, 'loses_answers', False))


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
