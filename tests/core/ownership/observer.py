"""Checks the grants that holders hold in simulated real time."""

from dataclasses import dataclass

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HashRange
from tests.core.ownership.fleet import Fleet, Target

SAMPLE_S = 0.02


class InvariantViolation(AssertionError):
    """An invariant was violated."""


@dataclass(frozen=True)
class HeldGrant:
    """The ranges that one target holds, and until which real time."""

    ranges: tuple[HashRange, ...]
    until: float
    term: int


class Observer:
    """Observes a fleet, independently of what its daemons know.

    A target gains ranges only by a message, so a check for overlaps after each
    message finds every moment with two owners.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.interval = SAMPLE_S
        self.held: dict = {}
        # A guarded target has one holder in each daemon that has guarded it.
        self.endpoints: dict = {}
        self.seen_acknowledged = 0
        self.unavailable: dict[int, float] = {}
        self.gaps: dict[int, float] = {}
        self.longest_gaps: dict[int, float] = {}
        self.probes: tuple[int, ...] = ()
        self.changes = 0
        self.lapses = 0
        for target in fleet.targets.values():
            target.on_change = self.check_target
        fleet.world.watchers.append(self.check_acknowledged)

    def check_target(self, target: Target) -> None:
        """Check that no hash has two holders, nor one against the store."""
        holder = target.holder
        ranges = holder.live_ranges(target.clock)
        endpoint = (target.name, id(target))
        self.endpoints[endpoint] = target
        before = self.held.get(endpoint)
        now = self.fleet.world.now
        until = target.true_time(holder.expires_at)
        self.held[endpoint] = HeldGrant(ranges, until, holder.term)
        if before and before.ranges != ranges:
            self.changes += 1
        if before and before.until < now:
            self.lapses += 1
        for key, other in self.held.items():
            is_live = other.until > now and self.endpoints[key].is_alive
            if key[0] != target.name and is_live:
                self._check_overlap(target.name, ranges, key[0], other)
        self._check_against_store(target.name, ranges)

    def _check_overlap(self, name, ranges, other_name, other) -> None:
        for part in ranges:
            if any(part.overlaps(held) for held in other.ranges):
                now = self.fleet.world.now
                raise InvariantViolation(
                    f'{now}: {name}, {other_name} both own {part}'
                )

    def _check_against_store(self, name, ranges) -> None:
        owned = self.fleet.owners.get(name, ())
        for part in ranges:
            if not any(part.overlaps(whole) for whole in owned):
                now = self.fleet.world.now
                raise InvariantViolation(
                    f'{now}: {name} holds {part} against the store'
                )

    def check_acknowledged(self) -> None:
        """Check that the store's history has each acknowledged assignment."""
        fresh = self.fleet.acknowledged[self.seen_acknowledged :]
        self.seen_acknowledged += len(fresh)
        for snapshot in fresh:
            version = snapshot.head.version
            stored = self.fleet.store.history.get(version)
            if stored != ownership.encode_head(snapshot.head):
                raise InvariantViolation(
                    f'acknowledged version {version} is lost'
                )
        if fresh and self.fleet.head.version < fresh[-1].head.version:
            raise InvariantViolation(
                'the store fell behind an acknowledged version'
            )

    def measure(self) -> None:
        """Start measuring, at each probe, the time without an owner."""
        owners = self.fleet.owners
        self.probes = tuple(
            part.start + 1 for ranges in owners.values() for part in ranges
        )
        self.restart()
        self._sample()

    def restart(self) -> None:
        """Reset the measurements."""
        self.gaps = dict.fromkeys(self.probes, 0)
        self.longest_gaps = dict.fromkeys(self.probes, 0)
        self.changes = 0
        self.lapses = 0

    @property
    def worst(self) -> float:
        """The longest time that a probe had no running owner, in seconds."""
        return max(self.longest_gaps.values())

    def _sample(self) -> None:
        live = [
            part
            for endpoint in self.endpoints.values()
            if endpoint.is_alive and not endpoint.is_paused
            for part in endpoint.holder.live_ranges(endpoint.clock)
        ]
        for probe in self.probes:
            is_owned = any(probe in part for part in live)
            self.gaps[probe] = (
                0 if is_owned else self.gaps[probe] + self.interval
            )
            self.longest_gaps[probe] = max(
                self.longest_gaps[probe], self.gaps[probe]
            )
        world = self.fleet.world
        world.at(world.now + self.interval, self._sample)
