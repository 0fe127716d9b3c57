"""Processes that serve callers, started with limits that a test chooses."""

import tomllib
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from pathlib import Path

import anyio
import httpcore

from laburnumyard.core.machine_variables import MACHINE_VARIABLES
from standins.cluster import Cluster, ClusterPlan, ServiceShape, running
from standins.gateway_cluster import ClusterLimits, running_gateways
from standins.hostile_callers import (
    BulkTarget,
    request_fields,
    request_head,
)

# Fields that gateways or daemons read beside those of ``request_fields``.
PROGRAM_FIELDS = (
    ('laburnumyard-shard-key', '1'),
    ('laburnumyard-key', '1'),
    ('laburnumyard-repeatable', 'yes'),
)
CALL_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 15.0
POLL_S = 0.05
TARGETS = 2
SLOTS = 400
WORK_S = 0.2


class ServingProgram(Enum):
    """Which program serves the callers."""

    GATEWAY = 'gateway'
    DAEMON = 'daemon'


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of the process under test.

    Parameters
    ----------
    memory_mb
        Memory, in millions of bytes.
    descriptors
        Descriptors that it may open.
    body_bytes
        Largest body of a request.
    """

    memory_mb: int
    descriptors: int
    body_bytes: int

    def variables(self) -> dict[str, str]:
        """Return the limits as environment variables."""
        return {
            MACHINE_VARIABLES['memory_mb']: str(self.memory_mb),
            MACHINE_VARIABLES['max_descriptors']: str(self.descriptors),
        }


@dataclass(frozen=True, slots=True)
class ServingProcess:
    """A process that serves callers.

    Parameters
    ----------
    address
        ``IP:PORT`` for callers.
    operators
        ``IP:PORT`` for health checks and operators.
    pid
        The process.
    path
        Path of a request that targets serve.
    limits
        Limits of the process.
    """

    address: str
    operators: str
    pid: int
    path: str
    limits: ProcessLimits

    def head(self, method: str, name: str, *lines: str) -> bytes:
        """Return the head of a request, with additional lines."""
        fields = (f'{key}: {text}' for key, text in PROGRAM_FIELDS)
        return request_head(method, self.path, name, *fields, *lines)

    async def wait_answered(self) -> None:
        """Wait until an ordinary request on a new connection is served."""
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            status = 0
            while status != HTTPStatus.OK:
                status = await self.ask()
                await anyio.sleep(POLL_S)

    async def ask(self) -> int:
        """Send an ordinary request; return its status, 0 without a response."""
        url = f'http://{self.address}{self.path}'
        headers = [
            *request_fields('ordinary'),
            *PROGRAM_FIELDS,
            ('connection', 'close'),
        ]
        with suppress(httpcore.NetworkError, httpcore.ProtocolError):
            with anyio.move_on_after(CALL_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request('GET', url, headers=headers)
                return response.status
        return 0


@asynccontextmanager
async def running_process(
    program: ServingProgram, limits: ProcessLimits, folder: Path
) -> AsyncIterator[ServingProcess]:
    """Run a process that serves callers, with its store, targets and peers.

    Parameters
    ----------
    program
        Program to run.
    limits
        Limits of the process. They reach a daemon as environment variables,
        which the caller sets.
    folder
        For settings and logs.
    """
    if program is ServingProgram.GATEWAY:
        async with _running_gateway(limits, folder) as process:
            yield process
        return
    plan = ClusterPlan(
        services=(
            ServiceShape('catalogue', TARGETS, SLOTS, work_ms=1000 * WORK_S),
        ),
        daemons=3,
        limits=(f'body_bytes = {limits.body_bytes}',),
    )
    with running(Cluster(plan, folder)) as cluster:
        pid = cluster.processes['vm-1'].pid
        listen = cluster.places.daemons[0]
        process = ServingProcess(
            listen.callers, listen.admin, pid, '/catalogue/read', limits
        )
        # The targets get their keys a moment after the daemon is ready.
        await process.wait_answered()
        yield process


@asynccontextmanager
async def _running_gateway(
    limits: ProcessLimits, folder: Path
) -> AsyncIterator[ServingProcess]:
    machine = (
        f'memory_mb = {limits.memory_mb}',
        f'max_descriptors = {limits.descriptors}',
    )
    async with running_gateways(
        folder,
        _targets(),
        1,
        keyed=False,
        limits=ClusterLimits(limits.body_bytes, machine),
    ) as cluster:
        gateway = cluster.gateways[0]
        pid = gateway.process.pid if gateway.process else 0
        listen = tomllib.loads(gateway.settings.read_text())['listen']
        yield ServingProcess(
            gateway.callers, listen['readiness'], pid, '/benches/1', limits
        )


def _targets() -> Iterable[BulkTarget]:
    return [
        BulkTarget(f'i-{number}', 'catalogue', slots=SLOTS, work_s=WORK_S)
        for number in range(TARGETS)
    ]
