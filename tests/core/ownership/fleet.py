"""Simulated daemons and targets that run the real state machines."""

import math
from functools import partial, singledispatchmethod

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange
from laburnumyard.core.rendezvous_hashing import rank
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.chunk_writer import ChunkWriter
from tests.core.ownership.simulation import SimulatedProcess, Store, World

TIMING = TimingSettings()
WHOLE = HashRange(0, HASH_SPACE)
DATA_CENTRES = ('lima-1', 'lima-2', 'lima-3')
SERVICE = 'orders'
LEAST_TICK_S = 0.005


class HolderEndpoint:
    """Serves the messages of lease managers with a grant holder."""

    def serve(self, message) -> ownership.HolderAnswer:
        """Apply a message to the holder and answer it."""
        answer = self._apply(message)
        self.on_change(self)
        return answer

    @singledispatchmethod
    def _apply(self, message) -> ownership.HolderAnswer:
        raise TypeError(message)

    @_apply.register
    def _seal(self, message: ownership.SendSeal) -> ownership.HolderAnswer:
        return self.holder.seal(message.term, self.clock)

    @_apply.register
    def _grant(self, message: ownership.SendGrant) -> ownership.HolderAnswer:
        return self.holder.grant(
            message.term,
            message.sequence,
            message.clock_ms,
            message.lifetime_ms,
            message.ranges,
            self.clock,
        )

    @_apply.register
    def _renew(self, message: ownership.SendRenew) -> ownership.HolderAnswer:
        return self.holder.renew(
            message.term,
            message.sequence,
            message.clock_ms,
            message.lifetime_ms,
            self.clock,
        )


class Target(HolderEndpoint, SimulatedProcess):
    """A target that checks fencing tokens."""

    def __init__(
        self, world: World, name: str, data_centre: str, holder
    ) -> None:
        super().__init__(world, name, data_centre)
        self.holder_class = holder
        self.holder = holder(self.clock)
        self.busy = 0
        self.on_change = _ignore

    def boot(self) -> None:
        self.holder = self.holder_class(self.clock)


class Guard(HolderEndpoint):
    """The daemon that holds the grants of a target without fencing."""

    def __init__(self, target: Target, daemon) -> None:
        self.name = target.name
        self.target = target
        self.daemon = daemon
        self.generation = daemon.generation
        self.holder = ownership.GrantHolder(daemon.clock)
        self.on_change = target.on_change
        self.true_time = daemon.true_time

    @property
    def clock(self) -> float:
        """The clock of the daemon."""
        return self.daemon.clock

    @property
    def is_alive(self) -> bool:
        """Whether the daemon process that started to guard still runs."""
        return self.generation == self.daemon.generation

    @property
    def is_paused(self) -> bool:
        """Whether the guard or its target is paused."""
        return self.daemon.is_paused or self.target.is_paused


class Daemon(SimulatedProcess):
    """A daemon with lease managers; it learns of others by heartbeats."""

    def __init__(
        self, world: World, name: str, data_centre: str, fleet
    ) -> None:
        super().__init__(world, name, data_centre)
        self.fleet = fleet
        self.incarnation = 0
        self.boot()

    def boot(self) -> None:
        self.incarnation += 1
        self.booted_at = self.clock
        self.heartbeats: dict[str, tuple[float, int]] = {}
        self.ticks: dict[str, float] = {}
        self.guards: dict[str, Guard] = {}
        self.snapshot = None
        self.chunks = ChunkWriter(self.fleet.store, self)
        self.is_leaving = False
        self.managers = {
            data_centre: self.fleet.manager_class(
                ownership.ManagerSettings(
                    self.name,
                    self.incarnation,
                    data_centre,
                    self.fleet.timing,
                ),
                self.fleet.plan,
            )
            for data_centre in DATA_CENTRES
            if data_centre != self.data_centre
        }
        for data_centre in self.managers:
            self._tick(data_centre)
        self._send_heartbeats()

    def guard(self, target: Target) -> Guard:
        """Return this daemon's guard of a target; create it if needed."""
        if target.name not in self.guards:
            self.guards[target.name] = Guard(target, self)
        return self.guards[target.name]

    def feed(self, data_centre: str, event) -> None:
        """Feed an event to a manager and run its effects."""
        for effect in self.managers[data_centre].handle(event, self.clock):
            EffectRunner(self).run(effect, data_centre)
        self._plan_tick(data_centre)

    def live(self) -> list[str]:
        """The daemons with a recent heartbeat."""
        return list(self.incarnations())

    def incarnations(self) -> dict[str, int]:
        """The incarnations of the daemons with a recent heartbeat."""
        limit = self.clock - self.fleet.timing.suspect_after_s
        live = {
            name: incarnation
            for name, (at, incarnation) in self.heartbeats.items()
            if at > limit
        }
        if not self.is_leaving:
            live[self.name] = self.incarnation
        return live

    def candidates(self, data_centre: str) -> tuple[str, ...]:
        """The daemons that may manage a scope, in order of preference."""
        homes = self.fleet.homes
        allowed = [name for name in self.live() if homes[name] != data_centre]
        return rank(f'{SERVICE}/{data_centre}', allowed)

    def leave(self) -> None:
        """Hand over the scopes and stop."""
        self.is_leaving = True
        for data_centre in self.managers:
            self.feed(data_centre, ownership.Leave())
        self._stop_when_idle()

    def learn(self, snapshot, asked_at=None) -> None:
        """Adopt a head from a peer or from one of the own managers."""
        known = self.snapshot.head.version if self.snapshot else 0
        if snapshot.head.version <= known:
            return
        self.snapshot = snapshot
        for data_centre in self.managers:
            self.feed(data_centre, ownership.HeadRead(snapshot, asked_at))
        self._broadcast(lambda other: other.learn(snapshot))

    def _stop_when_idle(self) -> None:
        if all(manager.is_idle for manager in self.managers.values()):
            self.kill()
        self.later(self.fleet.timing.heartbeat_interval_s, self._stop_when_idle)

    def _tick(self, data_centre: str) -> None:
        if self.fleet.is_guarded:
            self._feed_guard_candidates(data_centre)
        if self._should_take_over(data_centre):
            self.feed(data_centre, ownership.TakeOver())
        else:
            self.feed(data_centre, ownership.Tick())
        self._plan_tick(data_centre)

    def _plan_tick(self, data_centre: str) -> None:
        # As in the real daemon, each event may advance the next tick.
        wake_at = self.managers[data_centre].wake_at(self.clock)
        moment = max(wake_at, self.clock + LEAST_TICK_S)
        planned = self.ticks.get(data_centre, math.inf)
        if self.clock < planned <= moment:
            return
        self.ticks[data_centre] = moment
        self.later(
            moment - self.clock, partial(self._run_tick, data_centre, moment)
        )

    def _run_tick(self, data_centre: str, moment: float) -> None:
        if self.ticks[data_centre] == moment:
            self.ticks.pop(data_centre)
            self._tick(data_centre)

    def _send_heartbeats(self) -> None:
        if not self.is_leaving:
            name, snapshot = self.name, self.snapshot
            incarnation = self.incarnation

            def record_heartbeat(other):
                other.heartbeats[name] = (other.clock, incarnation)
                if snapshot:
                    other.learn(snapshot)

            self._broadcast(record_heartbeat)
        self.later(
            self.fleet.timing.heartbeat_interval_s, self._send_heartbeats
        )

    def _feed_guard_candidates(self, data_centre: str) -> None:
        homes = self.fleet.homes
        leaving_daemons = self.fleet.leaving_daemons
        near = [
            name
            for name in self.live()
            if homes[name] == data_centre and name not in leaving_daemons
        ]
        for target in self.fleet.targets_in(data_centre):
            order = rank(f'guard/{target.name}', near)
            hint = ownership.GuardCandidates(
                target.name, order, leaving_daemons
            )
            self.feed(data_centre, hint)

    def _should_take_over(self, data_centre: str) -> bool:
        # A new process has received no heartbeats of the others yet.
        is_new = self.clock < self.booted_at + self.fleet.timing.suspect_after_s
        order = self.candidates(data_centre)
        if is_new or not order or order[0] != self.name:
            return False
        scopes = self.snapshot.head.scopes if self.snapshot else {}
        scope = scopes.get(data_centre)
        return ownership.needs_manager(scope, self.incarnations())

    def _broadcast(self, action) -> None:
        for other in self.fleet.daemons.values():
            if other is not self:
                self.world.send(self, other, partial(action, other))


class EffectRunner:
    """Runs the effects of the managers of one daemon."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    @singledispatchmethod
    def run(self, effect, data_centre: str) -> None:
        raise TypeError(effect)

    @run.register
    def _read(self, effect: ownership.ReadHead, data_centre: str) -> None:
        asked_at = self.daemon.clock

        def answer(outcome):
            if outcome is None:
                self.daemon.feed(data_centre, ownership.HeadUnreadable())
                return
            event = ownership.HeadRead(_snapshot(*outcome), asked_at)
            self.daemon.feed(data_centre, event)

        self.daemon.fleet.store.read(self.daemon, answer)

    @run.register
    def _prepare(
        self, effect: ownership.PrepareChunks, data_centre: str
    ) -> None:
        self.daemon.chunks.write_all(effect.chunks, _ignore)

    @run.register
    def _swap(self, effect: ownership.SwapHead, data_centre: str) -> None:
        def answer(outcome):
            if outcome is None:
                event = ownership.SwapUnknown(effect.change)
            elif outcome == 'refused':
                event = ownership.SwapRefused(effect.change)
            else:
                event = ownership.SwapDone(effect.change, outcome)
            self.daemon.feed(data_centre, event)

        def swap(are_written):
            if are_written:
                content = ownership.encode_head(effect.head)
                store = self.daemon.fleet.store
                store.swap(self.daemon, effect, content, answer)
            else:
                answer('refused')

        self.daemon.chunks.write_all(effect.chunks, swap)

    @run.register(ownership.SendSeal)
    @run.register(ownership.SendGrant)
    @run.register(ownership.SendRenew)
    def _send(self, effect, data_centre: str) -> None:
        fleet = self.daemon.fleet
        target = fleet.targets[effect.target]
        process = fleet.daemons[effect.guard] if effect.guard else target

        def serve():
            endpoint = process.guard(target) if effect.guard else target
            self._answer(effect, data_centre, process, endpoint.serve(effect))

        self.daemon.world.send(self.daemon, process, serve)

    def _answer(
        self, effect, data_centre: str, process: SimulatedProcess, held
    ) -> None:
        is_renewal = isinstance(effect, ownership.SendRenew)
        answer = ownership.TargetAnswer(
            effect.target,
            effect.call,
            held.accepted,
            held.term,
            held.sequence,
            held.clock_ms,
            None if is_renewal else held.ranges,
            self.daemon.fleet.targets[effect.target].busy,
            effect.guard,
        )
        self.daemon.world.send(
            process, self.daemon, lambda: self.daemon.feed(data_centre, answer)
        )

    @run.register
    def _changed(
        self,
        effect: ownership.AssignmentChanged,
        data_centre: str,
    ) -> None:
        self.daemon.fleet.acknowledged.append(effect.snapshot)
        self.daemon.learn(effect.snapshot)

    @run.register
    def _offer(self, effect: ownership.OfferScope, data_centre: str) -> None:
        names = self.daemon.candidates(data_centre)
        for name in [one for one in names if one != self.daemon.name][:1]:
            other = self.daemon.fleet.daemons[name]
            action = partial(other.feed, data_centre, ownership.TakeOver())
            self.daemon.world.send(self.daemon, other, action)

    @run.register
    def _log(self, effect: ownership.LogDecision, data_centre: str) -> None:
        self.daemon.fleet.log.append(
            (self.daemon.world.now, self.daemon.name, data_centre, effect)
        )


class Fleet:
    """Three data centres with daemons and targets of one service."""

    def __init__(
        self,
        seed: int,
        manager_class=ownership.LeaseManager,
        holder_class=ownership.GrantHolder,
        timing: TimingSettings = TIMING,
        target_kind=ownership.FencedTarget,
    ) -> None:
        self.world = World(seed)
        self.manager_class = manager_class
        self.holder_class = holder_class
        self.timing = timing
        self.is_guarded = target_kind is ownership.GuardedTarget
        # Daemons that have announced that they leave.
        self.leaving_daemons = frozenset()
        self.store = Store(self.world)
        names = [(f'target-{number}', number % 3) for number in range(6)]
        kinds = {
            name: target_kind(DATA_CENTRES[index]) for name, index in names
        }
        key_range = ownership.KeyRangePlan(WHOLE, tuple(kinds))
        self.plan = ownership.ServicePlan(SERVICE, (key_range,), kinds, 2)
        self.targets = {
            name: Target(self.world, name, kind.data_centre, holder_class)
            for name, kind in kinds.items()
        }
        self.owners_by_revision: dict = {}
        self.acknowledged: list = []
        self.log: list = []
        self.homes = {
            f'daemon-{number}': DATA_CENTRES[number % 3] for number in range(6)
        }
        self.daemons: dict[str, Daemon] = {}
        for name, data_centre in self.homes.items():
            self.daemons[name] = Daemon(self.world, name, data_centre, self)

    @property
    def head(self):
        """The current head in the store."""
        return ownership.decode_head(self.store.head).ok

    @property
    def owners(self):
        """The ranges of each target according to the store."""
        store = self.store
        if store.revision not in self.owners_by_revision:
            found = _snapshot(store.head, store.revision, store.chunks)
            owners = ownership.ranges_by_target(found.assignment)
            self.owners_by_revision[store.revision] = owners
        return self.owners_by_revision[store.revision]

    def manager_of(self, data_centre: str) -> Daemon:
        """The daemon that the store names as the manager of a scope."""
        return self.daemons[self.head.scopes[data_centre].manager]

    def targets_in(self, data_centre: str) -> list[Target]:
        """The targets of a data centre."""
        targets = self.targets.values()
        return [one for one in targets if one.data_centre == data_centre]

    def run(self, seconds: float) -> None:
        """Advance the simulated real time."""
        self.world.run_until(self.world.now + seconds)

    def feed_all(self, event) -> None:
        """Feed an event to all managers of running daemons."""
        for daemon in self.daemons.values():
            for data_centre in daemon.managers:
                action = partial(daemon.feed, data_centre, event)
                daemon.run(action, daemon.generation)


def _ignore(news) -> None:
    """Ignore a notification."""


def _snapshot(content, revision, chunks):
    if content is None:
        return None
    head = ownership.decode_head(content).ok
    assignment = ownership.assemble(SERVICE, head, chunks).ok
    return ownership.Snapshot(head, assignment, revision)
