"""Grants of the target's keys from the real lease managers and a store.

A separate ownership fleet runs in the same virtual time as the daemons that
forward orders. Its observer records, on true time, which target holds a key.
"""

from laburnumyard.core import ownership
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.conftest import build_scene

OWNER = 'target-0'
KINDS = (ownership.FencedTarget, ownership.GuardedTarget)


class Grants:
    """Holder of the key of all orders, by its own and the observer's view."""

    def __init__(self, kind, timing=None, seed=21):
        self.is_guarded = kind is ownership.GuardedTarget
        timing = timing or TimingSettings()
        self.scene = build_scene(seed, timing=timing, target_kind=kind)
        self.fleet = self.scene.fleet
        self.base = self.fleet.world.now
        self.lapses = 0
        self.key = self.fleet.owners[OWNER][0].start + 1
        self.target = self.fleet.targets[OWNER]
        self.keeper = self.target
        if self.is_guarded:
            guard = self.fleet.head.guards[OWNER]
            self.keeper = self.fleet.daemons[guard]

    def run_until(self, now):
        self.fleet.world.run_until(self.base + now)

    def keeper_of_grant(self):
        """Return the target that checks its grant, or its guard."""
        if self.is_guarded:
            return self.keeper.guards[OWNER]
        return self.target

    def holder(self):
        return self.keeper_of_grant().holder

    def is_held(self):
        """Whether the holder has the key by its own clock."""
        return self.holder().holds(self.key, self.keeper.clock)

    def lapses_in(self):
        """Time until the grant expires, in seconds of true time."""
        expires = self.keeper.true_time(self.holder().expires_at)
        return max(expires - self.fleet.world.now, 0)

    def is_observed(self):
        """Whether this holder has the key, by the observer's records."""
        records = self.scene.observer.held
        held = records[OWNER, id(self.keeper_of_grant())]
        is_live = held.until > self.fleet.world.now
        return is_live and any(self.key in part for part in held.ranges)

    def observed_owners(self):
        """Return the targets that hold the key by the observer's records."""
        observer = self.scene.observer
        now = self.fleet.world.now
        return {
            name
            for (name, keeper), held in observer.held.items()
            if held.until > now
            and observer.endpoints[name, keeper].is_alive
            and any(self.key in part for part in held.ranges)
        }

    def pause_keeper(self):
        self.keeper.pause()

    def resume_keeper(self):
        """Resume the holder, whose grant must have expired."""
        assert not self.is_held(), 'the grant did not lapse'
        self.lapses += 1
        self.keeper.resume()

    def check_served(self, now, seconds):
        """Check that the key has one owner again after some seconds."""
        self.run_until(now + seconds)
        owners = self.observed_owners()
        assert len(owners) == 1, f'{owners} hold the key in the end'
