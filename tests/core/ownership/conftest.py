from dataclasses import dataclass

import pytest

from tests.core.ownership.fleet import Fleet
from tests.core.ownership.observer import Observer


@dataclass
class Scene:
    """A fleet under observation."""

    fleet: Fleet
    observer: Observer

    def recover(self, seconds: float) -> None:
        """End every fault, wait, and begin to measure anew."""
        fleet = self.fleet
        fleet.world.cuts.clear()
        fleet.world.late_share = 0
        fleet.store.is_down = False
        fleet.store.loses_answers = False
        fleet.store.delay = 0
        for node in (*fleet.targets.values(), *fleet.daemons.values()):
            node.resume()
            node.start()
        fleet.run(seconds)
        self.observer.restart()

    def settle(self) -> None:
        """Let a new fleet take its scopes and grant, then begin to measure."""
        self.fleet.run(5)
        self.observer.measure()


def build_scene(seed: int, **options) -> Scene:
    fleet = Fleet(seed, **options)
    scene = Scene(fleet, Observer(fleet))
    scene.settle()
    return scene


@pytest.fixture
def make_scene():
    """Return a builder of observed fleets that serve all keys."""
    return build_scene
