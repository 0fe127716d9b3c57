import itertools
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from laburnumyard.clients import StoreClient, TargetConnection
from laburnumyard.schema._generated.settings import StoreSettings
from standins._serve import serving
from standins.platform import PlatformApp
from standins.target import Fencing, TargetApp, TargetSettings

MAX_BODY_BYTES = 65536
TEST_TIMEOUT_S = 20


@pytest.fixture
def platform_app():
    return PlatformApp()


@pytest.fixture
async def store_address(platform_app):
    async with serving(platform_app) as address:
        yield address


@pytest.fixture
def make_store():
    """Build a store client whose clock advances on each reading."""

    def build(address, **options):
        settings = StoreSettings(
            address=address,
            **{'call_burst': 1000, 'timeout_s': TEST_TIMEOUT_S} | options,
        )
        ticks = itertools.count()
        return StoreClient(settings, lambda: next(ticks), Random(1).random)

    return build


@pytest.fixture
async def store(store_address, make_store):
    client = make_store(store_address)
    yield client
    await client.close()


@pytest.fixture
def target_app():
    return TargetApp(TargetSettings('c1', 'catalogue', fencing=Fencing.NONE))


@pytest.fixture
async def target_address(target_app):
    async with serving(target_app) as address:
        yield address


@pytest.fixture
async def connection(target_address):
    opened = await TargetConnection.open(
        target_address,
        MAX_BODY_BYTES,
        TEST_TIMEOUT_S,
    )
    yield opened.ok
    opened.ok.close()


@pytest.fixture
def scripted_server():
    """Start a server that sends the given bytes as responses.

    Connection n gets response n; further connections get the last one. A
    response that is a tuple is sent in parts. Each is sent after the first
    bytes arrive; ``hold`` keeps connections open afterwards.
    """

    @asynccontextmanager
    async def serve(*answers, hold=False):
        left = list(answers)

        async def handle(stream):
            answer = left.pop(0) if len(left) > 1 else left[0]
            async with stream:
                await stream.receive()
                for part in answer if isinstance(answer, tuple) else (answer,):
                    await stream.send(part)
                    await anyio.wait_all_tasks_blocked()
                if hold:
                    await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            yield f'127.0.0.1:{port}'
            tasks.cancel_scope.cancel()
        await listener.aclose()

    return serve
