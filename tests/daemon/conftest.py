import asyncio
from contextlib import asynccontextmanager

import pytest

from laburnumyard.clocks import boot_time
from laburnumyard.core.key_hashing import hash_key
from laburnumyard.daemon._job import Job
from standins._serve import serving
from standins.target import Fencing, TargetApp, TargetSettings
from tests.daemon.daemon_fixtures import running

TEST_TIMEOUT_S = 20


@pytest.fixture
def target_app():
    settings = TargetSettings('c1', 'catalogue', fencing=Fencing.NONE)
    return TargetApp(settings)


@pytest.fixture
async def target(target_app):
    async with serving(target_app) as address:
        yield address


@pytest.fixture
async def daemon(target):
    async with running() as one:
        one.configure(target)
        yield one


class ScriptedTarget:
    """Sends scripted raw answers; the last one is repeated.

    An answer of None closes the connection; empty bytes leave it open without
    an answer.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.received = []
        self.connections = 0
        self.ended = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            await self.answer_all(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1
        writer.close()

    async def answer_all(self, reader, writer):
        answer = b''
        while answer is not None:
            writer.write(answer)
            self.received.append(await reader.readuntil(b'\r\n\r\n'))
            left = self.answers
            answer = left.pop(0) if len(left) > 1 else left[0]


@pytest.fixture
def scripted():
    @asynccontextmanager
    async def serve(*answers):
        target = ScriptedTarget(answers)
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        target.address = f'{host}:{port}'
        try:
            yield target
        finally:
            server.close()

    return serve


@pytest.fixture
def job():
    """Return a repeatable job for the catalogue service."""
    return Job(
        request_id='vm-1-1',
        service='catalogue',
        customer='',
        key='bench',
        key_hash=hash_key('bench'),
        operation='GET read',
        method='GET',
        path='/catalogue/read',
        headers=(),
        body=b'',
        deadline=boot_time() + TEST_TIMEOUT_S,
        repeatable=True,
        ticket='',
        hops=0,
    )
