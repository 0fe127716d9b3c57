"""Random sequences of faults and operator requests, determined by a seed."""

from functools import partial

from laburnumyard.core import ownership
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.conftest import ObservedFleet, build_scene
from tests.core.ownership.faults import FAULTS, isolate_manager, start_fault
from tests.core.ownership.fleet import DATA_CENTRES, Fleet

# Short, so that a whole outage hold can elapse within one run.
HOLD_S = 6
TIMING = TimingSettings(outage_hold_s=HOLD_S)
RECOVERY_S = 18
LENGTHS_S = (0.3, 1, 2, 5, 10)
PAUSES_S = (0.02, 0.3, 1, 3)


def run_random_faults(
    seed: int, seconds: float = 25, **options
) -> ObservedFleet:
    """Run a fleet under random faults, end all of them and let it recover."""
    scene = build_scene(seed, timing=TIMING, **options)
    fleet = scene.fleet
    rng = fleet.world.random
    fleet.world.late_share = rng.choice((0, 0.02, 0.2))
    fleet.world.late_by = rng.choice((0.3, 3, 12))
    _schedule_next(fleet, fleet.world.now + seconds)
    fleet.run(seconds + max(LENGTHS_S))
    for name in fleet.targets:
        fleet.feed_all(ownership.TargetDraining(name, draining=False))
    scene.recover(RECOVERY_S)
    fleet.run(3)
    return scene


def _schedule_next(fleet: Fleet, end: float) -> None:
    if fleet.world.now > end:
        return
    rng = fleet.world.random
    draws = (*FREQUENT, _isolate_manager, _restart, _move, _drain, _race)
    rng.choice(draws)(fleet, rng)
    moment = fleet.world.now + rng.choice(PAUSES_S)
    fleet.world.at(moment, partial(_schedule_next, fleet, end))


def _fault(fleet: Fleet, rng) -> None:
    active_fault = start_fault(
        rng.choice(FAULTS), fleet, rng.choice(DATA_CENTRES)
    )
    fleet.world.at(fleet.world.now + rng.choice(LENGTHS_S), active_fault.end)


def _isolate_manager(fleet: Fleet, rng) -> None:
    active_fault = isolate_manager(fleet, rng.choice(DATA_CENTRES))
    fleet.world.at(fleet.world.now + rng.choice(LENGTHS_S), active_fault.end)


def _restart(fleet: Fleet, rng) -> None:
    processes = (*fleet.targets.values(), *fleet.daemons.values())
    process = rng.choice(processes)
    process.kill()
    fleet.world.at(fleet.world.now + rng.choice(LENGTHS_S), process.start)


def _move(fleet: Fleet, rng) -> None:
    parts = [part for ranges in fleet.owners.values() for part in ranges]
    hint = ownership.MoveRequested(
        rng.choice(parts),
        rng.choice(tuple(fleet.targets)),
    )
    fleet.feed_all(hint)


def _drain(fleet: Fleet, rng) -> None:
    name = rng.choice(tuple(fleet.targets))
    fleet.feed_all(ownership.TargetDraining(name))
    stay = ownership.TargetDraining(name, draining=False)
    moment = fleet.world.now + rng.choice(LENGTHS_S)
    fleet.world.at(moment, partial(fleet.feed_all, stay))


def _race(fleet: Fleet, rng) -> None:
    data_centre = rng.choice(DATA_CENTRES)
    for daemon in fleet.daemons.values():
        if data_centre in daemon.managers and rng.choice(RARELY):
            action = partial(daemon.feed, data_centre, ownership.TakeOver())
            daemon.run(action, daemon.generation)


RARELY = (True, False, False)
FREQUENT = (_fault, _fault, _fault)
