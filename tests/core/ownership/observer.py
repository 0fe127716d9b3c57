"""Checks what the targets hold on true time, whatever the daemons believe."""

from dataclasses import dataclass

from laburnumyard.core import ownership
from laburnumyard.core.keys import HashRange
from tests.core.ownership.fleet import Fleet, Target

SAMPLE_S = 0.02


class Breach(AssertionError):
    """An invariant did not hold."""


@dataclass(frozen=True)
class Held:
    """What one target holds, until which true time."""

    ranges: tuple[HashRange, ...]
    until: float
    term: int


class Observer:
    """Watches a fleet from outside.

    Every holding begins at a message to its target, so that looking for
    overlaps after each message finds every moment with two owners.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.interval = SAMPLE_S
        self.held: dict = {}
        # A guarded target has one keeper in each daemon that ever guarded it.
        self.keepers: dict = {}
        self.seen_acknowledged = 0
        self.unavailable: dict[int, float] = {}
        self.gaps: dict[int, float] = {}
        self.longest: dict[int, float] = {}
        self.probes: tuple[int, ...] = ()
        self.changes = 0
        self.lapses = 0
        for target in fleet.targets.values():
            target.on_change = self.look
        fleet.world.watchers.append(self.check_acknowledged)

    def look(self, target: Target) -> None:
        """Check one owner per hash, and terms, after a target's change."""
        holder = target.holder
        ranges = holder.live_ranges(target.clock)
        keeper = (target.name, id(target))
        self.keepers[keeper] = target
        before = self.held.get(keeper)
        now = self.fleet.world.now
        until = target.true_time(holder.expires_at)
        self.held[keeper] = Held(ranges, until, holder.term)
        if before and before.ranges != ranges:
            self.changes += 1
        if before and before.until < now:
            self.lapses += 1
        for key, other in self.held.items():
            is_live = other.until > now and self.keepers[key].is_alive
            if key[0] != target.name and is_live:
                self._refuse_overlap(target.name, ranges, key[0], other)
        self._refuse_stale(target.name, ranges)

    def _refuse_overlap(self, name, ranges, other_name, other) -> None:
        for part in ranges:
            if any(part.overlaps(held) for held in other.ranges):
                now = self.fleet.world.now
                raise Breach(f'{now}: {name}, {other_name} both own {part}')

    def _refuse_stale(self, name, ranges) -> None:
        owned = self.fleet.owners.get(name, ())
        for part in ranges:
            if not any(part.overlaps(whole) for whole in owned):
                now = self.fleet.world.now
                raise Breach(f'{now}: {name} holds {part} against the store')

    def check_acknowledged(self) -> None:
        """Check that each acknowledged assignment is in the store's past."""
        fresh = self.fleet.acknowledged[self.seen_acknowledged :]
        self.seen_acknowledged += len(fresh)
        for snapshot in fresh:
            version = snapshot.head.version
            stored = self.fleet.store.history.get(version)
            if stored != ownership.encode_head(snapshot.head):
                raise Breach(f'acknowledged version {version} is lost')
        if fresh and self.fleet.head.version < fresh[-1].head.version:
            raise Breach('the store fell behind an acknowledged version')

    def measure(self) -> None:
        """Begin to measure, at each probe, the time without an owner."""
        owners = self.fleet.owners
        self.probes = tuple(
            part.start + 1 for ranges in owners.values() for part in ranges
        )
        self.restart()
        self._sample()

    def restart(self) -> None:
        """Forget what was measured so far."""
        self.gaps = dict.fromkeys(self.probes, 0)
        self.longest = dict.fromkeys(self.probes, 0)
        self.changes = 0
        self.lapses = 0

    @property
    def worst(self) -> float:
        """The longest time that any probe had no running owner, in seconds."""
        return max(self.longest.values())

    def _sample(self) -> None:
        live = [
            part
            for keeper in self.keepers.values()
            if keeper.is_alive and not keeper.is_paused
            for part in keeper.holder.live_ranges(keeper.clock)
        ]
        for probe in self.probes:
            is_owned = any(probe in part for part in live)
            self.gaps[probe] = (
                0 if is_owned else self.gaps[probe] + self.interval
            )
            self.longest[probe] = max(self.longest[probe], self.gaps[probe])
        world = self.fleet.world
        world.at(world.now + self.interval, self._sample)
