"""Simulated store and targets with random faults, without a network."""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import anyio
from expression import Error, Ok

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import DataCentre, Seconds, ServiceName, TargetId
from laburnumyard.core.scheduling import Scheduler, SchedulerSettings
from laburnumyard.core.shards import Grant, Reply, ShardManager, ShardSettings
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
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
from laburnumyard.gateway._store_health import StoreHealth
from tests.support.sole import only

SERVICE = ServiceName('catalogue')
# Short grants, so that many of them expire within a run of seconds.
SETTINGS = ShardSettings(
    hold_s=1, renew_after_s=0.25, transit_s=0.3, outage_hold_s=1
)
SAMPLES = range(0, 65_536, 512)
# All parts share one clock; this covers the time between two readings.
CLOCK_SLACK_S = 0.02
CALL_DELAY_S = 0.005
LATE_DELAY_RANGE_S = (0.2, 1.2)
ARRIVAL_COST_S = 0.05


@dataclass
class Target:
    """Holds keys as ordered, and loses its state on restart."""

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


class Simulation:
    """Actual state: the keys that each target holds, and the stored item."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.targets = {
            name: Target(TargetLife(TargetId(name), 1), f'10.0.0.{name}:80')
            for name in '12345'
        }
        self.item = Item('', None, 0)
        self.epoch = 0
        self.revision = 0
        self.late_fraction = 0
        self.lost_fraction = 0
        self.violations = []
        self.highest = defaultdict(dict)

    def draw(self, part):
        return self.random.random() < part

    def execute(self, order, arrived_at):
        """Execute an order at its target; a grant counts from arrival."""
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
                self.check_ownership(key, target, order.token)
        return Reply.DONE

    def check_ownership(self, key, target, token):
        """Record violations: two holders of one key, or a reused token."""
        now = boot_time()
        if target.held[key] <= now:
            return
        for other in self.targets.values():
            if other is target:
                continue
            if other.held.get(key, 0) > now + CLOCK_SLACK_S:
                self.violations.append((key, target.life, other.life))
            if self.highest[key].get(other.life.target, 0) >= token:
                self.violations.append((key, target.life, 'token', token))
        self.highest[key][target.life.target] = token

    def holders(self, key):
        now = boot_time()
        return [
            target.life.target
            for target in self.targets.values()
            if target.held.get(key, 0) > now
        ]


class Coordinator:
    """A real runner whose calls to store and targets can be made to fail."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.scope = anyio.CancelScope()
        self.member = Member(name, '127.0.0.1:1', 1)
        self.cut_at = None
        # The start of each target on the other end of the open connection.
        self.connected = {}
        self.unreachable_targets = set()
        simulation.revision += 1
        simulation.epoch = simulation.revision
        self.epoch = simulation.epoch
        self.view = ClusterView()
        self.health = StoreHealth()
        self.update_targets()
        self.manager = ShardManager(SETTINGS)
        platform = Platform(self, self, None)
        self.runner = ShardRunner(
            SERVICE, self.epoch, platform, self.view, self, self.manager
        )

    def update_targets(self):
        records = {
            TargetId(name): target.record
            for name, target in self.simulation.targets.items()
        }
        self.view.adopt_directory(records)

    async def run(self):
        with self.scope:
            scheduler = Scheduler(SchedulerSettings(), self.manager)
            await self.runner.run(SlotDispatcher(SERVICE, scheduler))

    async def read(self, key, *, may_lag=False):
        await anyio.sleep(CALL_DELAY_S)
        if self.is_store_cut:
            return Error(StoreError(StoreFault.TIMEOUT))
        return Ok(self.simulation.item)

    async def compare_and_swap(self, write):
        await anyio.sleep(CALL_DELAY_S)
        if self.is_store_cut:
            return Error(StoreError(StoreFault.TIMEOUT, may_apply=True))
        simulation = self.simulation
        if self.epoch != simulation.epoch:
            return Error(StoreError(StoreFault.CONFLICT))
        if simulation.item.revision not in write.expected.values():
            return Error(StoreError(StoreFault.CONFLICT))
        simulation.revision += 1
        content = only(write.puts.values())
        simulation.item = Item('', content, simulation.revision)
        if simulation.draw(simulation.lost_fraction):
            return Error(StoreError(StoreFault.TIMEOUT, may_apply=True))
        return Ok(simulation.revision)

    @property
    def is_store_cut(self):
        return self.cut_at is not None

    @property
    def is_fresh(self):
        return not self.is_store_cut

    @property
    def confirmed_at(self):
        return boot_time() if self.cut_at is None else self.cut_at

    async def send(self, order, address, timeout_s, *, may_reconnect):
        written_at = boot_time()
        await anyio.sleep(CALL_DELAY_S)
        simulation = self.simulation
        if boot_time() - written_at > SETTINGS.transit_s:
            # The test itself was held up for longer than any network delay
            # that the coordinators allow for.
            return OrderReply(Reply.UNKNOWN)
        target = simulation.targets[order.life.target]
        if (
            address != target.address
            or target.life.target in self.unreachable_targets
        ):
            self.connected.pop(address, None)
            await anyio.sleep(timeout_s)
            return OrderReply(Reply.UNKNOWN)
        if not may_reconnect and self.connected.get(address) != target.life:
            return OrderReply(Reply.UNKNOWN)
        arrived_at = boot_time()
        if simulation.draw(simulation.late_fraction):
            await self.execute_late(order, arrived_at, timeout_s)
            return OrderReply(Reply.UNKNOWN)
        self.connected[address] = target.life
        return OrderReply(simulation.execute(order, arrived_at), 'handover')

    async def execute_late(self, order, arrived_at, timeout_s):
        target = self.simulation.targets[order.life.target]
        received_by = target.life
        with anyio.CancelScope(shield=True):
            await anyio.sleep(
                self.simulation.random.uniform(*LATE_DELAY_RANGE_S)
            )
            # An order that the process holds back ends with the process.
            if target.life == received_by:
                self.simulation.execute(order, arrived_at)

    def record_load(self):
        """Record requests for a moving hot range and for all other keys."""
        start = 16_384 * (int(boot_time()) % 4)
        keys = [
            start + self.simulation.random.randrange(2000) for _ in range(8)
        ]
        keys.append(self.simulation.random.randrange(65_536))
        for key in keys:
            self.manager.note_arrival(key, ARRIVAL_COST_S, boot_time())
