"""Daemons on loopback without membership and ownership."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from types import MappingProxyType

import anyio

from laburnumyard.core.configuration import parse_objects
from laburnumyard.core.ids import Incarnation, Version
from laburnumyard.core.key_hashing import HASH_SPACE
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._daemon import Daemon
from laburnumyard.daemon._forwarding import ForwardedJobReceiver
from laburnumyard.daemon._http_server import make_server
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.schema._generated.messages import (
    Assignment,
    Cancel,
    OwnedRange,
    Submit,
)
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.wire import Peer
from standins._serve import bind, stop
from tests.daemon.raw_http import Address

OBJECTS = """
[[priority_class]]
name = 'paid'
rank = 1
[[priority_class]]
name = 'common'
rank = 5
least_share = 0.1
[[customer]]
name = 'clinic'
token_sha256 = '{token}'
[[customer.shares]]
service = 'catalogue'
priority_class = 'paid'
share = 0.4
[[service]]
name = 'catalogue'
region = 'lima'
common_class = 'common'
queue_limit = {queue_limit}
[[service]]
name = 'orders'
region = 'lima'
common_class = 'common'
[[key_range]]
name = 'all'
service = 'catalogue'
targets = ['c1']
[[key_range]]
name = 'orders'
service = 'orders'
targets = ['o1']
[[target]]
name = 'c1'
service = 'catalogue'
data_centre = 'lima-a'
address = '{address}'
slots = {slots}
connections = 110
fencing = '{fencing}'
[[target]]
name = 'o1'
service = 'orders'
data_centre = 'lima-a'
address = '127.0.0.1:9'
"""
TOKEN = 'clinic-token'
POLL_S = 0.001
LAST_HASH = HASH_SPACE - 1
NO_DAEMONS = frozenset()
NO_LIMITS = MappingProxyType({})


def configuration(address, fencing='token', slots=3, queue_limit=64):
    text = OBJECTS.format(
        token=sha256(TOKEN.encode()).hexdigest(),
        address=address,
        fencing=fencing,
        slots=slots,
        queue_limit=queue_limit,
    )
    return parse_objects({'objects.toml': text}).ok


def table(service, target, first=0, last=LAST_HASH):
    owned = OwnedRange(start=first, last=last, target=target)
    return RoutingTable(Assignment(service, (owned,)), Version(1))


@dataclass
class FixedView(ClusterView):
    """A view with fixed dispatchers and peers."""

    dispatchers: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)

    def dispatcher_of(self, name, avoided=NO_DAEMONS):
        chosen = self.dispatchers.get(name, self.name)
        return None if chosen in avoided else chosen

    def peer(self, daemon):
        return self.peers.get(daemon)

    @property
    def knows_members(self):
        return True


class Members:
    """Records the events fed to the membership."""

    def __init__(self):
        self.events = []
        self.superseded = anyio.Event()

    def feed(self, event):
        self.events.append(event)

    def on_hello(self, hello):
        return True


class Ownership:
    """Ownership stub with no role to hand over."""

    is_handed_over = True

    def leave(self):
        self.is_left = True


class ControlRelay:
    """Records the suspects broadcast to other daemons."""

    def __init__(self):
        self.suspects = []

    def broadcast_suspects(self, suspects):
        self.suspects.extend(suspects)


class ServingDaemon(Daemon):
    """A daemon with only the components that serve requests."""

    def __init__(self, settings, tasks, incarnation=1):
        self.settings = settings
        self.tasks = tasks
        self.metrics = Metrics()
        self.view = FixedView(settings, Incarnation(incarnation), None)
        self.members = Members()
        self.ownership = Ownership()
        self.relay = ControlRelay()
        self.build_links()
        self.build_requests()
        self.receiver = ForwardedJobReceiver(
            self.targets.run_here, self.ticket_service.submit_here
        )
        self.peer_messages = self

    def handle(self, link, message):
        if isinstance(message, Submit):
            return self.receiver.run(link, message)
        if isinstance(message, Cancel):
            self.receiver.cancel(link, message)

    def configure(self, target, **options):
        self.view.configuration = configuration(target, **options)
        self.view.tables['catalogue'] = table('catalogue', 'c1')
        self.view.tables['orders'] = table('orders', 'o1')
        self.targets.reconfigure(self.view.configuration)

    def add_peer(self, other):
        """Add another daemon as a peer."""
        name = other.view.name
        self.view.peers[name] = Peer(
            name, other.server.address, other.view.incarnation
        )


def make_settings(name='vm-1', limits=None, **tables):
    return Settings.model_validate(
        {
            'daemon': {
                'name': name,
                'data_centre': 'lima-a',
                'region': 'lima',
            },
            'listen': {
                'callers': '127.0.0.1:0',
                'peers': '127.0.0.1:0',
                'admin': '127.0.0.1:0',
            },
            'admin': {'token_sha256': '0' * 64},
            'store': {'address': '127.0.0.1:1'},
            'limits': limits or {},
        }
        | tables
    )


@asynccontextmanager
async def listening(application, settings):
    """Serve an ASGI application as the daemon serves its callers."""
    server = make_server(application, '127.0.0.1:0', settings.limits)
    listener = bind('127.0.0.1:0')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        while not server.started:  # noqa: ASYNC110
            await anyio.sleep(POLL_S)
        try:
            yield Address(*listener.getsockname(), server)
        finally:
            stop(server)
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def running(name='vm-1', incarnation=1, **options):
    """Run a daemon; yield it with its address for callers set."""
    settings = make_settings(name, **options)
    async with anyio.create_task_group() as tasks:
        daemon = ServingDaemon(settings, tasks, incarnation)
        async with daemon.server, daemon.pool:
            tasks.start_soon(daemon.caller_app.disconnect_watcher.run)
            async with listening(daemon.caller_app, settings) as address:
                daemon.callers = address
                yield daemon
        tasks.cancel_scope.cancel()
