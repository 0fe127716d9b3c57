"""Faults and operators' hints drawn from a seed."""

from functools import partial

from laburnumyard.core import ownership
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.conftest import Scene, build_scene
from tests.core.ownership.faults import FAULTS, begin, exile
from tests.core.ownership.fleet import DATA_CENTRES, Fleet

# Short, so that waits of a whole hold happen within a drawn run.
HOLD_S = 6
TIMING = TimingSettings(outage_hold_s=HOLD_S)
RECOVERY_S = 18
LENGTHS_S = (0.3, 1, 2, 5, 10)
PAUSES_S = (0.02, 0.3, 1, 3)


def draw(seed: int, seconds: float = 25, **options) -> Scene:
    """Run a fleet under drawn faults, end them all and let it recover."""
    scene = build_scene(seed, timing=TIMING, **options)
    fleet = scene.fleet
    chance = fleet.world.random
    fleet.world.late_share = chance.choice((0, 0.02, 0.2))
    fleet.world.late_by = chance.choice((0.3, 3, 12))
    _draw_next(fleet, fleet.world.now + seconds)
    fleet.run(seconds + max(LENGTHS_S))
    for name in fleet.targets:
        fleet.feed_all(ownership.TargetDraining(name, draining=False))
    scene.recover(RECOVERY_S)
    fleet.run(3)
    return scene


def _draw_next(fleet: Fleet, end: float) -> None:
    if fleet.world.now > end:
        return
    chance = fleet.world.random
    draws = (*FREQUENT, _exile, _restart, _move, _drain, _race)
    chance.choice(draws)(fleet, chance)
    moment = fleet.world.now + chance.choice(PAUSES_S)
    fleet.world.at(moment, partial(_draw_next, fleet, end))


def _fault(fleet: Fleet, chance) -> None:
    running = begin(chance.choice(FAULTS), fleet, chance.choice(DATA_CENTRES))
    fleet.world.at(fleet.world.now + chance.choice(LENGTHS_S), running.end)


def _exile(fleet: Fleet, chance) -> None:
    running = exile(fleet, chance.choice(DATA_CENTRES))
    fleet.world.at(fleet.world.now + chance.choice(LENGTHS_S), running.end)


def _restart(fleet: Fleet, chance) -> None:
    nodes = (*fleet.targets.values(), *fleet.daemons.values())
    node = chance.choice(nodes)
    node.kill()
    fleet.world.at(fleet.world.now + chance.choice(LENGTHS_S), node.start)


def _move(fleet: Fleet, chance) -> None:
    parts = [part for ranges in fleet.owners.values() for part in ranges]
    hint = ownership.MoveRequested(
        chance.choice(parts),
        chance.choice(tuple(fleet.targets)),
    )
    fleet.feed_all(hint)


def _drain(fleet: Fleet, chance) -> None:
    name = chance.choice(tuple(fleet.targets))
    fleet.feed_all(ownership.TargetDraining(name))
    stay = ownership.TargetDraining(name, draining=False)
    moment = fleet.world.now + chance.choice(LENGTHS_S)
    fleet.world.at(moment, partial(fleet.feed_all, stay))


def _race(fleet: Fleet, chance) -> None:
    place = chance.choice(DATA_CENTRES)
    for daemon in fleet.daemons.values():
        if place in daemon.managers and chance.choice(RARELY):
            action = partial(daemon.feed, place, ownership.TakeOver())
            daemon.run(action, daemon.generation)


RARELY = (True, False, False)
FREQUENT = (_fault, _fault, _fault)
