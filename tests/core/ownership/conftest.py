from dataclasses import dataclass

import pytest

from tests.core.ownership.fleet import Fleet
from tests.core.ownership.observer import Observer


@dataclass
class ObservedFleet:
    """A simulated cluster and its observer."""

    fleet: Fleet
    observer: Observer

    def recover(self, seconds: float) -> None:
        """End all faults, wait, and restart the measurement."""
        fleet = self.fleet
        fleet.world.cuts.clear()
        fleet.world.late_share = 0
        fleet.store.is_down = False
        fleet.store.loses_answers = False
        fleet.store.delay = 0
        for process in (*fleet.targets.values(), *fleet.daemons.values()):
            process.resume()
            process.start()
        fleet.run(seconds)
        self.observer.restart()

    def settle(self) -> None:
        """Let a new fleet take over its scopes and grant; start measuring."""
        self.fleet.run(5)
        self.observer.measure()


def build_scene(seed: int, **options) -> ObservedFleet:
    fleet = Fleet(seed, **options)
    scene = ObservedFleet(fleet, Observer(fleet))
    scene.settle()
    return scene


@pytest.fixture
def make_scene():
    """Return a factory of observed fleets that serve all keys."""
    return build_scene
