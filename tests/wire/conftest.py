import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from laburnumyard.schema._generated import messages
from laburnumyard.wire import LinkPool, LinkServer, LinkSettings, Peer

TEST_TIMEOUT_S = 20
SETTINGS = LinkSettings(
    body_bytes=4096,
    bulk_queue_bytes=65536,
    write_bytes=4096,
    probe_after_s=0.02,
    silent_after_s=0.05,
    sweep_interval_s=0.01,
    backoff_first_s=0.01,
    backoff_max_s=0.05,
    connect_timeout_s=2,
)


def hello(daemon, incarnation=1):
    return messages.Hello(
        daemon=daemon,
        incarnation=incarnation,
        data_centre='lima-1',
        region='lima',
        peer_address='',
    )


def submit(key, body=b''):
    return messages.Submit(
        number=0,
        request_id='',
        service='catalogue',
        target='catalogue-1',
        customer='clinic',
        key=key,
        method='GET',
        path='/benches',
        headers=(),
        body=body,
        deadline_ms=250,
        repeatable=True,
        ticket='',
        hops=0,
    )


def response_to(request):
    return messages.SubmitAnswer(
        number=request.number,
        kind='',
        detail=request.key,
        status=200,
        headers=(),
        body=request.body,
    )


async def wait_until(condition):
    """Wait for a condition; only a failing test reaches the timeout."""
    for _ in range(TEST_TIMEOUT_S * 200):
        if condition():
            return
        await asyncio.sleep(0.005)
    pytest.fail(f'the condition did not hold within {TEST_TIMEOUT_S} s')


class Daemon:
    """A daemon that records messages and can delay its responses."""

    def __init__(self):
        self.received_messages = []
        self.holds = False
        self.raises = False

    def take(self, link, message):
        self.received_messages.append((link, message))
        if self.raises:
            raise ValueError('a fault of the handler')
        if isinstance(message, messages.Submit) and not self.holds:
            link.send(response_to(message))

    def keys(self):
        """The keys of the received requests."""
        return [
            getattr(message, 'key', '') for _, message in self.received_messages
        ]

    def release(self):
        """Respond to the held requests, the last one first."""
        self.holds = False
        for link, message in reversed(self.received_messages):
            if isinstance(message, messages.Submit):
                link.send(response_to(message))


class Relay:
    """A TCP proxy that can silently drop the data of its connections."""

    def __init__(self, address):
        host, port = address.split(':')
        self.host = host
        self.port = int(port)
        self.lost = set()
        self.open = set()

    async def accept(self, reader, writer):
        there = await asyncio.open_connection(self.host, self.port)
        self.open.add(writer)
        with suppress(ConnectionError):
            await asyncio.gather(
                self.pump(reader, there[1], writer),
                self.pump(there[0], writer, writer),
            )

    async def pump(self, reader, writer, connection):
        while received := await reader.read(4096):
            if connection not in self.lost:
                writer.write(received)
        writer.close()

    def drop_data(self):
        """Drop all further data on the connections open now."""
        self.lost |= self.open


@asynccontextmanager
async def run_relay(address):
    relay = Relay(address)
    server = await asyncio.start_server(relay.accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield relay, f'{host}:{port}'
    finally:
        server.close()


@pytest.fixture
def daemon():
    return Daemon()


@pytest.fixture
async def server(daemon, anyio_backend):
    async with LinkServer(
        '127.0.0.1:0',
        hello('server'),
        daemon.take,
        settings=SETTINGS,
    ) as listening:
        yield listening


@pytest.fixture
async def pool(anyio_backend):
    async with LinkPool(hello('client'), SETTINGS, lambda: 0.5) as links:
        yield links


@pytest.fixture
def peer(server):
    return Peer('server', server.address, 1)
