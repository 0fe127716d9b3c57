import asyncio
import json
from contextlib import asynccontextmanager

import anyio
import pytest

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import (
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    TargetId,
)
from laburnumyard.core.routes import (
    CallerLimits,
    Route,
    RouteShare,
    RouteTable,
)
from laburnumyard.core.scheduling import Refusal
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._http_messages import CallerRequest
from laburnumyard.gateway._http_server import CallerServer
from laburnumyard.gateway._request_router import RequestRouter
from laburnumyard.gateway._slot_acquisition import Slot
from laburnumyard.gateway._slot_dispatcher import SlotRefused
from laburnumyard.gateway._target_connection_pool import TargetConnectionPool
from laburnumyard.gateway._task_supervision import SupervisedTasks
from laburnumyard.intake import NO_LIMITS
from laburnumyard.platform._wire_format import PlatformWireFormat

SIGNED = 'laburnumyard-instance-signature: s\r\n'


def answer(status=200, body='whole', headers=SIGNED):
    head = f'HTTP/1.1 {status} X\r\n{headers}content-length: {len(body)}\r\n'
    return f'{head}\r\n{body}'.encode()


def not_run(status=503, headers=''):
    return answer(status, '', f'laburnumyard-not-executed: 1\r\n{headers}')


class FakeTarget:
    """Responds with scripted bytes; an empty script aborts the connection."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.received = []
        self.address = ''

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(
                    head.lower().split(b'content-length: ')[1].split(b'\r')[0]
                )
                body = await reader.readexactly(length)
                self.received.append(head + body)
                script = self.scripts.pop(0) if self.scripts else answer()
                if not script:
                    writer.transport.abort()
                    return
                writer.write(script)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    @asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        async with server:
            yield self


class FakeSlots:
    """Grants slots of targets in turn, then refuses."""

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.asked = []
        self.outcomes = []
        self.reports = []

    async def acquire(self, slot_request):
        self.asked.append(slot_request)
        if not self.addresses:
            return SlotRefused(Refusal.OVERLOADED, Seconds(0.25))
        address = self.addresses.pop(0)
        return Slot(TargetLife(TargetId(f'i-{address}'), 1), address)

    def release(self, slot, report):
        self.outcomes.append(report.outcome.value)
        self.reports.append(report)


@asynccontextmanager
async def serving_callers(
    respond, limits=CallerLimits, account=None, connection_limits=NO_LIMITS
):
    """Run a server of callers on a loopback port."""
    async with anyio.create_task_group() as tasks:
        server = CallerServer(
            respond, limits, SupervisedTasks(tasks), account, connection_limits
        )
        server.account.make_room = server.make_room
        await server.listen('127.0.0.1:0')
        try:
            yield server
        finally:
            server.close_idle()
            tasks.cancel_scope.cancel()


async def connect_caller(server):
    """Return the reader and the writer of a new connection."""
    host, port = server.listener.sockets[0].getsockname()
    return await asyncio.open_connection(host, port)


def make_route(is_repeatable=True, timeout_s=1.0):
    return Route(
        RouteName('benches'),
        'shop.example',
        '/benches/',
        (RouteShare(ServiceName('catalogue'), 1.0),),
        is_repeatable,
        Seconds(timeout_s),
        Seconds(0.4),
        1,
        2,
    )


def make_router(slots, route=None):
    view = ClusterView()
    view.adopt_routes(RouteTable(1, (route or make_route(),), {}))
    return RequestRouter(
        PlatformWireFormat(),
        view,
        slots,
        TargetConnectionPool(),
        DataCentre('lima-a'),
    )


def make_request(path='/benches/17', deadline_ms=1500, body=b'', **headers):
    fields = {
        'host': 'shop.example',
        'laburnumyard-attempt-id': 'attempt-1',
        'laburnumyard-deadline-ms': str(deadline_ms),
        **headers,
    }
    return CallerRequest(
        'POST',
        path,
        'shop.example',
        tuple(fields.items()),
        body,
        boot_time(),
    )


def record_at(address):
    """Return the record of a ready target, named as ``FakeSlots`` does."""
    return TargetRecord(
        TargetLife(TargetId(f'i-{address}'), 1),
        ServiceName('catalogue'),
        address,
        DataCentre('lima-a'),
        3,
        TargetState.READY,
        Seconds(0),
    )


@pytest.fixture
def config():
    """A configuration document of the operator."""
    return json.dumps(
        {
            'version': 'r7',
            'routes': [
                {
                    'name': 'r-1',
                    'host': 'Shop.example',
                    'prefix': '/benches/',
                    'routeType': 'unsafe',
                    'timeoutMs': 800,
                    'sloMs': 400,
                    'priority': 2,
                    'maxAttempts': 2,
                    'split': [
                        {'service': 'a', 'weight': 90},
                        {'service': 'b', 'weight': 10},
                    ],
                },
            ],
            'services': [
                {
                    'name': 'a',
                    'healthPath': '/healthz',
                    'maxConns': 110,
                    'sharded': True,
                },
                {'name': 'b', 'healthPath': '/healthz', 'maxConns': 110},
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 1000,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
    ).encode()
