"""Coordinators, a store and targets that fail at random, without a network."""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import anyio
from expression import Error, Ok

from laburnumyard.clocks import boot_time
from laburnumyard.core.directory import TargetLife, TargetRecord, TargetState
from laburnumyard.core.ids import DataCentre, Seconds, ServiceName, TargetId
from laburnumyard.core.scheduling import Scheduler, SchedulerSettings
from laburnumyard.core.shards import Grant, Reply, ShardManager, ShardSettings
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._platform_interface import (
    Item,
    OrderReply,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._shard_runner import ShardRunner
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from tests.support.sole import only

SERVICE = ServiceName('catalogue')
# Short holds, so that seconds of a run see many of them end.
SETTINGS = ShardSettings(
    hold_s=1, renew_after_s=0.25, transit_s=0.3, outage_hold_s=1
)
SAMPLES = range(0, 65_536, 512)
# Clocks of one process are exact; this covers the time between two readings.
SLACK_S = 0.02
CALL_S = 0.005
LATE_S = (0.2, 1.2)
ARRIVAL_COST_S = 0.05


@dataclass
class Target:
    """Holds keys as it was told, and forgets all when it starts anew."""

    life: TargetLife
    address: str
    held: dict[int, float] = field(default_factory=dict)
    tokens: dict[int, int] = field(default_factory=dict)
    is_draining: bool = False

    @property
    def record(self):
        state = TargetState.DRAINING if self.is_draining else TargetState.READY
        return TargetRecord(
            self.life,
            SERVICE,
            self.address,
            DataCentre('lima-a'),
            3,
            state,
            Seconds(0),
        )

    def restart(self):
        began = self.life.started_at_ms + 1
        self.life = TargetLife(self.life.target, began)
        self.held.clear()
        self.tokens.clear()


class World:
    """The truth: what each target holds, and what the store keeps."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.targets = {
            name: Target(TargetLife(TargetId(name), 1), f'10.0.0.{name}:80')
            for name in '12345'
        }
        self.item = Item('', None, 0)
        self.epoch = 0
        self.revision = 0
        self.late_part = 0
        self.lost_part = 0
        self.broken = []
        self.highest = defaultdict(dict)

    def happens(self, part):
        return self.random.random() < part

    def take(self, order, arrived_at):
        """Carry out an order at its target; it counts from its arrival."""
        target = self.targets[order.life.target]
        keys = [key for key in SAMPLES if order.first <= key <= order.last]
        if any(target.tokens.get(key, 0) > order.token for key in keys):
            if isinstance(order, Grant):
                return Reply.FENCED
        for key in keys:
            target.tokens[key] = max(target.tokens.get(key, 0), order.token)
            target.held.pop(key, None)
            if isinstance(order, Grant):
                target.held[key] = arrived_at + order.hold_s
                self.check(key, target, order.token)
        return Reply.DONE

    def check(self, key, target, token):
        """Note what no run may ever show."""
        now = boot_time()
        if target.held[key] <= now:
            return
        for other in self.targets.values():
            if other is target:
                continue
            if other.held.get(key, 0) > now + SLACK_S:
                self.broken.append((key, target.life, other.life))
            if self.highest[key].get(other.life.target, 0) >= token:
                self.broken.append((key, target.life, 'token', token))
        self.highest[key][target.life.target] = token

    def holders(self, key):
        now = boot_time()
        return [
            target.life.target
            for target in self.targets.values()
            if target.held.get(key, 0) > now
        ]


class Coordinator:
    """A real runner with its own way to the store and to the targets."""

    def __init__(self, world, name):
        self.world = world
        self.scope = anyio.CancelScope()
        self.member = Member(name, '127.0.0.1:1', 1)
        self.is_cut = False
        self.unreached = set()
        world.revision += 1
        world.epoch = world.revision
        self.epoch = world.epoch
        self.view = ClusterView()
        self.see_targets()
        self.manager = ShardManager(SETTINGS)
        platform = Platform(self, self, None)
        self.runner = ShardRunner(
            SERVICE, self.epoch, platform, self.view, self, self.manager
        )

    def see_targets(self):
        records = {
            TargetId(name): target.record
            for name, target in self.world.targets.items()
        }
        self.view.adopt_directory(records)

    async def run(self):
        with self.scope:
            scheduler = Scheduler(SchedulerSettings(), self.manager)
            await self.runner.run(SlotDispatcher(SERVICE, scheduler))

    async def read(self, key, *, may_lag=False):
        await anyio.sleep(CALL_S)
        if self.is_cut:
            return Error(StoreError(StoreFault.TIMEOUT))
        return Ok(self.world.item)

    async def compare_and_swap(self, write):
        await anyio.sleep(CALL_S)
        if self.is_cut:
            return Error(StoreError(StoreFault.TIMEOUT, may_apply=True))
        world = self.world
        if self.epoch != world.epoch:
            return Error(StoreError(StoreFault.CONFLICT))
        if world.item.revision not in write.expected.values():
            return Error(StoreError(StoreFault.CONFLICT))
        world.revision += 1
        content = only(write.puts.values())
        world.item = Item('', content, world.revision)
        if world.happens(world.lost_part):
            return Error(StoreError(StoreFault.TIMEOUT, may_apply=True))
        return Ok(world.revision)

    async def send(self, order, address, timeout_s):
        await anyio.sleep(CALL_S)
        world = self.world
        target = world.targets[order.life.target]
        if address != target.address or target.life.target in self.unreached:
            await anyio.sleep(timeout_s)
            return OrderReply(Reply.UNKNOWN)
        arrived_at = boot_time()
        if world.happens(world.late_part):
            await self.carry_out_late(order, arrived_at, timeout_s)
            return OrderReply(Reply.UNKNOWN)
        return OrderReply(world.take(order, arrived_at), 'handover')

    async def carry_out_late(self, order, arrived_at, timeout_s):
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self.world.random.uniform(*LATE_S))
            self.world.take(order, arrived_at)

    def note_load(self):
        """Requests for a hot stretch that moves, and for all other keys."""
        start = 16_384 * (int(boot_time()) % 4)
        keys = [start + self.world.random.randrange(2000) for _ in range(8)]
        keys.append(self.world.random.randrange(65_536))
        for key in keys:
            self.manager.note_arrival(key, ARRIVAL_COST_S, boot_time())
