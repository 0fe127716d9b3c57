"""Gateway processes on one machine, with their store, targets and callers.

The store and the targets run in the loop of the caller, so that a test sees and
changes their state. Gateways are processes of their own.
"""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import (
    AsyncExitStack,
    ExitStack,
    asynccontextmanager,
    suppress,
)
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import count
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import anyio
import httpcore
from anyio.abc import TaskGroup

from standins._gateway_store import GatewayStore
from standins._gateway_target import GatewayTarget
from standins._serve import bind, serving
from standins.partitioned_gateway import CUT_VARIABLE, Cut

HOST = 'shop.example'
EVACUATION_PREFIX = 'op/evacuate/'
HEARTBEAT_S = 0.4
POLL_S = 0.05
CALL_TIMEOUT_S = 3.0
DEADLINE_MS = 1200
MAX_KEY = 65_535
PORTS = range(20_000, 32_000)
SETTINGS = """
[daemon]
name = "{name}"
data_centre = "lima-a"
region = "lima"
[listen]
callers = "{callers}"
readiness = "{readiness}"
peers = "{peers}"
[store]
address = "{store}"
[machine]
cores = 1.0
peers = {seeds}
{machine}
[bounds]
retry_allowance = 50
warmup_overshoot = 1.5
warmup_slack = 8
evacuate_ms = 5000
"""


@dataclass(frozen=True, slots=True)
class Answered:
    """What a caller got.

    Parameters
    ----------
    at
        When it asked, in seconds.
    status
        The status; 0 without an answer.
    target
        The target that answered, or an empty string.
    took_s
        How long it waited, in seconds.
    retry_after_s
        When it is told to come back, in seconds; None if it is not.
    """

    at: float
    status: int
    target: str
    took_s: float
    retry_after_s: float | None = None


@dataclass(slots=True)
class GatewayProcess:
    """One gateway: its address, its files and its process."""

    name: str
    callers: str
    settings: Path
    log: Path
    process: 'subprocess.Popen[bytes] | None' = None

    def start(self) -> None:
        """Start the process, unless it runs; its log is appended to."""
        if self.is_running:
            return
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                (sys.executable, '-m', 'standins.partitioned_gateway'),
                env={
                    **os.environ,
                    'LABURNUMYARD_CONFIG': str(self.settings),
                    CUT_VARIABLE: str(self.cut_file),
                },
                stdout=output,
                stderr=output,
            )

    @property
    def cut_file(self) -> Path:
        """The file that tells how links to targets are cut."""
        return self.settings.with_suffix('.cut')

    def cut(self, cut: Cut, targets: Iterable[GatewayTarget]) -> None:
        """Cut the links of the gateway to targets, or heal them."""
        lines = [cut.value, *(target.address for target in targets)]
        written = self.cut_file.with_suffix('.new')
        written.write_text('\n'.join(lines))
        written.replace(self.cut_file)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def lines(self, event: str) -> list[str]:
        """Return the lines of one event."""
        marker = f' event={event} '
        return [
            line for line in self.log.read_text().splitlines() if marker in line
        ]


@dataclass(frozen=True, slots=True)
class ClusterLimits:
    """Limits of the gateways of a cluster.

    Parameters
    ----------
    max_body_bytes
        Largest body of a request that the configuration allows.
    machine
        Further lines of the ``[machine]`` table of the settings.
    """

    max_body_bytes: int = 1000
    machine: tuple[str, ...] = ()


@dataclass(slots=True)
class GatewayCluster:
    """A store, targets and gateways.

    Attributes
    ----------
    store, targets, gateways
        What it consists of.
    answered
        What callers got.
    version
        The configuration that the operator wrote last.
    warm_up_s, warm_up_per_s
        How long targets are cold, and the requests per second that one
        tolerates meanwhile; 0 for no limit.
    """

    folder: Path
    seed: int
    store: GatewayStore = field(default_factory=GatewayStore)
    store_address: str = ''
    targets: list[GatewayTarget] = field(default_factory=list)
    gateways: list[GatewayProcess] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    version: int = 0
    keyed: bool = True
    warm_up_s: float = 0
    warm_up_per_s: float = 0
    limits: ClusterLimits = field(default_factory=ClusterLimits)
    routes: list[str] = field(default_factory=list)
    numbers: 'count[int]' = field(default_factory=count)

    def configure(self, *prefixes: str) -> int:
        """Write a configuration with routes, and return its version."""
        self.version += 2
        self.routes = list(prefixes)
        self.store.put('op/config', self.configuration())
        return self.version

    def configuration(self) -> bytes:
        """Return the operator's document."""
        services = sorted({target.service for target in self.targets})
        document: dict[str, Any] = {
            'version': f'r{self.version}',
            'routes': [
                {
                    'name': f'route{prefix.replace("/", "-")}',
                    'host': HOST,
                    'prefix': prefix,
                    'routeType': 'safe',
                    'timeoutMs': 1000,
                    'sloMs': 500,
                    'priority': 1,
                    'service': services[0],
                    'maxAttempts': 2,
                }
                for prefix in self.routes
            ],
            'services': [
                {
                    'name': service,
                    'healthPath': '/healthz',
                    'maxConns': 110,
                    'sharded': self.keyed,
                    'warmupS': self.warm_up_s,
                    'warmupPerS': self.warm_up_per_s,
                }
                for service in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': self.limits.max_body_bytes,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        return json.dumps(document).encode()

    def evacuate(self, data_centre: str) -> None:
        """Have the operator evacuate a data centre."""
        self.store.put(f'{EVACUATION_PREFIX}{data_centre}', b'{}')

    def end_evacuation(self, data_centre: str) -> None:
        """End an evacuation, after which the targets there are cold."""
        self.store.remove(f'{EVACUATION_PREFIX}{data_centre}')
        for target in self.targets:
            if target.data_centre == data_centre:
                target.cold_until = time.monotonic() + self.warm_up_s

    async def write_entries(self) -> None:
        """Write the entries of all targets again and again."""
        while True:
            if not self.store.faults.down:
                for target in self.targets:
                    self.store.put(f'servers/{target.name}', target.entry())
            await anyio.sleep(HEARTBEAT_S)

    async def ask(
        self, gateway: GatewayProcess, path: str, key: int
    ) -> Answered:
        """Send one request through one gateway and note what came back."""
        at = time.monotonic()
        url = f'http://{gateway.callers}{path}'
        answer = None
        with suppress(httpcore.NetworkError, httpcore.ProtocolError):
            with anyio.move_on_after(CALL_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    headers = self.request_headers(key)
                    answer = await pool.request('GET', url, headers=headers)
        answered = _read_answer(answer, at)
        self.answered.append(answered)
        return answered

    def request_headers(self, key: int) -> list[tuple[str, str]]:
        """Return the headers of the next request."""
        return [
            ('host', HOST),
            ('laburnumyard-attempt-id', f'attempt-{next(self.numbers)}'),
            ('laburnumyard-deadline-ms', str(DEADLINE_MS)),
            ('laburnumyard-shard-key', str(key)),
            ('connection', 'close'),
        ]

    def running(self) -> list[GatewayProcess]:
        """Return the gateways whose process runs."""
        return [gateway for gateway in self.gateways if gateway.is_running]

    async def load(
        self, per_second: float, duration_s: float, path: str = '/benches/1'
    ) -> None:
        """Send requests at a rate through all gateways that run."""
        random = Random(self.seed)
        until = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < until:
                running = self.running()
                if running:
                    gateway = random.choice(running)
                    key = random.randint(0, MAX_KEY)
                    tasks.start_soon(self.ask, gateway, path, key)
                await anyio.sleep(random.expovariate(per_second))

    async def wait_served(self, timeout_s: float = 15) -> None:
        """Wait until each gateway serves requests."""
        with anyio.fail_after(timeout_s):
            for gateway in self.gateways:
                await self.wait_for(gateway)
        self.answered.clear()

    async def wait_for(self, gateway: GatewayProcess) -> None:
        """Wait until one gateway serves requests."""
        status = 0
        while status != HTTPStatus.OK:
            answered = await self.ask(gateway, f'{self.routes[0]}1', 0)
            status = answered.status
            await anyio.sleep(POLL_S)

    def coordinator(self) -> GatewayProcess | None:
        """Return the gateway that the store names as a coordinator."""
        for key in self.store.store.keys('laburnumyard/coordinator/'):
            member = json.loads(self.store.store.entries[key].content)
            for gateway in self.gateways:
                if gateway.name == member['name']:
                    return gateway
        return None

    def stop(self) -> None:
        """Kill all gateways."""
        for gateway in self.gateways:
            gateway.kill()


@asynccontextmanager
async def running_gateways(
    folder: Path,
    targets: Iterable[GatewayTarget],
    gateways: int = 3,
    *,
    keyed: bool = True,
    seed: int = 1,
    limits: ClusterLimits | None = None,
) -> AsyncIterator[GatewayCluster]:
    """Run a cluster until the context ends.

    Parameters
    ----------
    folder
        For settings and logs.
    targets
        All of one service.
    gateways
        How many gateways run.
    keyed
        Whether the keys of the service have owners.
    seed
        Seed of the load.
    limits
        Limits that differ from the defaults, if any do.
    """
    cluster = GatewayCluster(
        folder, seed, keyed=keyed, limits=limits or ClusterLimits()
    )
    async with AsyncExitStack() as stack:
        tasks: TaskGroup = await stack.enter_async_context(
            anyio.create_task_group()
        )
        store = serving(cluster.store)
        cluster.store_address = await stack.enter_async_context(store)
        for target in targets:
            target.address = await stack.enter_async_context(serving(target))
            cluster.targets.append(target)
        cluster.configure('/benches/')
        tasks.start_soon(cluster.store.run)
        tasks.start_soon(cluster.write_entries)
        _add_gateways(cluster, gateways)
        try:
            await cluster.wait_served()
            yield cluster
        finally:
            cluster.stop()
            tasks.cancel_scope.cancel()


def _add_gateways(cluster: GatewayCluster, number: int) -> None:
    addresses = _free_addresses(number)
    seeds = json.dumps([peers for _, _, peers in addresses[:3]])
    for index, (callers, readiness, peers) in enumerate(addresses):
        name = f'gateway-{index + 1}'
        gateway = GatewayProcess(
            name,
            callers,
            cluster.folder / f'{name}.toml',
            cluster.folder / f'{name}.log',
        )
        fields = {
            'name': name,
            'callers': callers,
            'readiness': readiness,
            'peers': peers,
            'store': cluster.store_address,
            'seeds': seeds,
            'machine': '\n'.join(cluster.limits.machine),
        }
        gateway.settings.write_text(SETTINGS.format(**fields))
        cluster.gateways.append(gateway)
        gateway.cut(Cut.NONE, cluster.targets)
        gateway.start()


def _free_addresses(number: int) -> list[tuple[str, str, str]]:
    """Return three addresses for each of some gateways.

    All are bound before the first is released, so that none is given twice.
    They are below the ports that the system gives to outgoing connections.
    """
    addresses: list[str] = []
    ports = SystemRandom().sample(PORTS, len(PORTS))
    with ExitStack() as stack:
        for port in ports:
            address = f'127.0.0.1:{port}'
            with suppress(OSError):
                stack.enter_context(bind(address))
                addresses.append(address)
            if len(addresses) == 3 * number:
                break
    free = iter(addresses)
    return list(zip(free, free, free, strict=True))


def _read_answer(answer: httpcore.Response | None, at: float) -> Answered:
    took = time.monotonic() - at
    if answer is None:
        return Answered(at, 0, '', took)
    fields = {name.lower(): text for name, text in answer.headers}
    retry_after = fields.get(b'retry-after')
    return Answered(
        at,
        answer.status,
        answer.content.decode(),
        took,
        None if retry_after is None else float(retry_after),
    )
