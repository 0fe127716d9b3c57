"""Daemons and targets in virtual time: a shell around the state machines."""

import math
from functools import partial, singledispatchmethod

from laburnumyard.core import ownership
from laburnumyard.core.keys import HASH_SPACE, HashRange
from laburnumyard.core.rendezvous import rank
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.chunk_writer import ChunkWriter
from tests.core.ownership.world import Node, Store, World

TIMING = TimingSettings()
WHOLE = HashRange(0, HASH_SPACE)
DATA_CENTRES = ('lima-1', 'lima-2', 'lima-3')
SERVICE = 'orders'
LEAST_TICK_S = 0.005


class Keeper:
    """Does what messages of lease managers ask, with a grant holder."""

    def serve(self, message) -> ownership.HolderAnswer:
        """Do what a message asks and answer it."""
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


class Target(Keeper, Node):
    """A target that checks fencing tokens."""

    def __init__(self, world: World, name: str, place: str, holder) -> None:
        super().__init__(world, name, place)
        self.holder_class = holder
        self.holder = holder(self.clock)
        self.busy = 0
        self.on_change = _ignore

    def boot(self) -> None:
        self.holder = self.holder_class(self.clock)


class Guard(Keeper):
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
        """Whether the process that began to guard still runs."""
        return self.generation == self.daemon.generation

    @property
    def is_paused(self) -> bool:
        """Whether the guard, or its target, does not run."""
        return self.daemon.is_paused or self.target.is_paused


class Daemon(Node):
    """A daemon that runs lease managers and hears of others by heartbeats."""

    def __init__(self, world: World, name: str, place: str, fleet) -> None:
        super().__init__(world, name, place)
        self.fleet = fleet
        self.incarnation = 0
        self.boot()

    def boot(self) -> None:
        self.incarnation += 1
        self.booted_at = self.clock
        self.heard: dict[str, tuple[float, int]] = {}
        self.ticks: dict[str, float] = {}
        self.guards: dict[str, Guard] = {}
        self.snapshot = None
        self.chunks = ChunkWriter(self.fleet.store, self)
        self.is_leaving = False
        self.managers = {
            place: self.fleet.manager_class(
                ownership.ManagerSettings(
                    self.name,
                    self.incarnation,
                    place,
                    self.fleet.timing,
                ),
                self.fleet.plan,
            )
            for place in DATA_CENTRES
            if place != self.data_centre
        }
        for place in self.managers:
            self._tick(place)
        self._beat()

    def guard(self, target: Target) -> Guard:
        """Guard a target from now on."""
        if target.name not in self.guards:
            self.guards[target.name] = Guard(target, self)
        return self.guards[target.name]

    def feed(self, place: str, event) -> None:
        """Give an event to a manager and run its effects."""
        for effect in self.managers[place].handle(event, self.clock):
            Effects(self).run(effect, place)
        self._plan_tick(place)

    def live(self) -> list[str]:
        """The members that were heard lately."""
        return list(self.incarnations())

    def incarnations(self) -> dict[str, int]:
        """The incarnations of the members that were heard lately."""
        limit = self.clock - self.fleet.timing.suspect_after_s
        live = {
            name: incarnation
            for name, (at, incarnation) in self.heard.items()
            if at > limit
        }
        if not self.is_leaving:
            live[self.name] = self.incarnation
        return live

    def candidates(self, place: str) -> tuple[str, ...]:
        """The daemons that may manage a scope, the preferred one first."""
        homes = self.fleet.homes
        allowed = [name for name in self.live() if homes[name] != place]
        return rank(f'{SERVICE}/{place}', allowed)

    def leave(self) -> None:
        """Hand over the scopes and stop."""
        self.is_leaving = True
        for place in self.managers:
            self.feed(place, ownership.Leave())
        self._stop_when_idle()

    def learn(self, snapshot, asked_at=None) -> None:
        """Take a head that a peer or one of the own managers has seen."""
        known = self.snapshot.head.version if self.snapshot else 0
        if snapshot.head.version <= known:
            return
        self.snapshot = snapshot
        for place in self.managers:
            self.feed(place, ownership.HeadRead(snapshot, asked_at))
        self._tell_others(lambda other: other.learn(snapshot))

    def _stop_when_idle(self) -> None:
        if all(manager.is_idle for manager in self.managers.values()):
            self.kill()
        self.later(self.fleet.timing.heartbeat_interval_s, self._stop_when_idle)

    def _tick(self, place: str) -> None:
        if self.fleet.is_guarded:
            self._name_guards(place)
        if self._should_take_over(place):
            self.feed(place, ownership.TakeOver())
        else:
            self.feed(place, ownership.Tick())
        self._plan_tick(place)

    def _plan_tick(self, place: str) -> None:
        # As in the daemon's shell, each event may bring the next tick forward.
        wake_at = self.managers[place].wake_at(self.clock)
        moment = max(wake_at, self.clock + LEAST_TICK_S)
        planned = self.ticks.get(place, math.inf)
        if self.clock < planned <= moment:
            return
        self.ticks[place] = moment
        self.later(moment - self.clock, partial(self._run_tick, place, moment))

    def _run_tick(self, place: str, moment: float) -> None:
        if self.ticks[place] == moment:
            self.ticks.pop(place)
            self._tick(place)

    def _beat(self) -> None:
        if not self.is_leaving:
            name, snapshot = self.name, self.snapshot
            incarnation = self.incarnation

            def hear(other):
                other.heard[name] = (other.clock, incarnation)
                if snapshot:
                    other.learn(snapshot)

            self._tell_others(hear)
        self.later(self.fleet.timing.heartbeat_interval_s, self._beat)

    def _name_guards(self, place: str) -> None:
        homes = self.fleet.homes
        parting = self.fleet.parting
        near = [
            name
            for name in self.live()
            if homes[name] == place and name not in parting
        ]
        for target in self.fleet.targets_in(place):
            order = rank(f'guard/{target.name}', near)
            hint = ownership.GuardCandidates(target.name, order, parting)
            self.feed(place, hint)

    def _should_take_over(self, place: str) -> bool:
        # A new process has not heard of the others yet.
        is_new = self.clock < self.booted_at + self.fleet.timing.suspect_after_s
        order = self.candidates(place)
        if is_new or not order or order[0] != self.name:
            return False
        scopes = self.snapshot.head.scopes if self.snapshot else {}
        scope = scopes.get(place)
        return ownership.needs_manager(scope, self.incarnations())

    def _tell_others(self, action) -> None:
        for other in self.fleet.daemons.values():
            if other is not self:
                self.world.send(self, other, partial(action, other))


class Effects:
    """Runs the effects of the managers of one daemon."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    @singledispatchmethod
    def run(self, effect, place: str) -> None:
        raise TypeError(effect)

    @run.register
    def _read(self, effect: ownership.ReadHead, place: str) -> None:
        asked_at = self.daemon.clock

        def answer(outcome):
            if outcome is None:
                self.daemon.feed(place, ownership.HeadUnreadable())
                return
            event = ownership.HeadRead(_snapshot(*outcome), asked_at)
            self.daemon.feed(place, event)

        self.daemon.fleet.store.read(self.daemon, answer)

    @run.register
    def _prepare(self, effect: ownership.PrepareChunks, place: str) -> None:
        self.daemon.chunks.write_all(effect.chunks, _ignore)

    @run.register
    def _swap(self, effect: ownership.SwapHead, place: str) -> None:
        def answer(outcome):
            if outcome is None:
                event = ownership.SwapUnknown(effect.change)
            elif outcome == 'refused':
                event = ownership.SwapRefused(effect.change)
            else:
                event = ownership.SwapDone(effect.change, outcome)
            self.daemon.feed(place, event)

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
    def _send(self, effect, place: str) -> None:
        fleet = self.daemon.fleet
        target = fleet.targets[effect.target]
        node = fleet.daemons[effect.guard] if effect.guard else target

        def serve():
            keeper = node.guard(target) if effect.guard else target
            self._answer(effect, place, node, keeper.serve(effect))

        self.daemon.world.send(self.daemon, node, serve)

    def _answer(self, effect, place: str, node: Node, held) -> None:
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
            node, self.daemon, lambda: self.daemon.feed(place, answer)
        )

    @run.register
    def _changed(
        self,
        effect: ownership.AssignmentChanged,
        place: str,
    ) -> None:
        self.daemon.fleet.acknowledged.append(effect.snapshot)
        self.daemon.learn(effect.snapshot)

    @run.register
    def _offer(self, effect: ownership.OfferScope, place: str) -> None:
        names = self.daemon.candidates(place)
        for name in [one for one in names if one != self.daemon.name][:1]:
            other = self.daemon.fleet.daemons[name]
            action = partial(other.feed, place, ownership.TakeOver())
            self.daemon.world.send(self.daemon, other, action)

    @run.register
    def _log(self, effect: ownership.LogDecision, place: str) -> None:
        self.daemon.fleet.log.append(
            (self.daemon.world.now, self.daemon.name, place, effect)
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
        # Daemons that have said that they leave.
        self.parting = frozenset()
        self.store = Store(self.world)
        names = [(f'target-{number}', number % 3) for number in range(6)]
        kinds = {
            name: target_kind(DATA_CENTRES[place]) for name, place in names
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
        for name, place in self.homes.items():
            self.daemons[name] = Daemon(self.world, name, place, self)

    @property
    def head(self):
        """The head that the store holds now."""
        return ownership.decode_head(self.store.head).ok

    @property
    def owners(self):
        """The ranges of each target that the store holds now."""
        store = self.store
        if store.revision not in self.owners_by_revision:
            found = _snapshot(store.head, store.revision, store.chunks)
            owners = ownership.ranges_by_target(found.assignment)
            self.owners_by_revision[store.revision] = owners
        return self.owners_by_revision[store.revision]

    def manager_of(self, place: str) -> Daemon:
        """The daemon that the store names as the manager of a scope."""
        return self.daemons[self.head.scopes[place].manager]

    def targets_in(self, place: str) -> list[Target]:
        """The targets of a data centre."""
        targets = self.targets.values()
        return [one for one in targets if one.data_centre == place]

    def run(self, seconds: float) -> None:
        """Let true time pass."""
        self.world.run_until(self.world.now + seconds)

    def feed_all(self, event) -> None:
        """Give an event to every manager that can take it."""
        for daemon in self.daemons.values():
            for place in daemon.managers:
                action = partial(daemon.feed, place, event)
                daemon.run(action, daemon.generation)


def _ignore(news) -> None:
    """Stand in for an observer, or for somebody who waits."""


def _snapshot(content, revision, chunks):
    if content is None:
        return None
    head = ownership.decode_head(content).ok
    assignment = ownership.assemble(SERVICE, head, chunks).ok
    return ownership.Snapshot(head, assignment, revision)
