"""Requests that crash a target while queued or after their deadline."""

import asyncio

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.clocks import boot_time
from laburnumyard.daemon._crash_detection import fingerprint
from tests.daemon.raw_http import ask

CRASHING_REQUEST = ('GET', '/catalogue/poison')
HARMLESS_REQUEST = ('GET', '/catalogue/innocent')
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
SHORT_MS = 300

pytestmark = pytest.mark.anyio


class SlowTarget:
    """Answers each request once it is released."""

    def __init__(self):
        self.received = []
        self.release = anyio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def serve(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            self.received.append(head.split()[1].decode())
            await self.release.wait()
            writer.write(ANSWER)
        writer.close()


@pytest.fixture
async def slow(anyio_backend):
    target = SlowTarget()
    await target.start()
    yield target
    target.release.set()
    target.server.close()


def queued_job(daemon):
    """Return the crashing job queued at the only dispatcher."""
    dispatcher = daemon.targets.dispatchers['c1']
    jobs = [each.job for each in dispatcher.pending.values()]
    return next((job for job in jobs if job.path == CRASHING_REQUEST[1]), None)


async def test_a_request_is_not_sent_if_it_was_quarantined_in_the_queue(
    daemon, slow, wait_until
):
    daemon.configure(slow.address, slots=1)
    answers = []

    async def send(request):
        answers.append(await ask(daemon.callers, *request))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, HARMLESS_REQUEST)
        await wait_until(lambda: slow.received)
        tasks.start_soon(send, CRASHING_REQUEST)
        await wait_until(lambda: queued_job(daemon))
        suspect = fingerprint(queued_job(daemon))
        for death in ('c2/first', 'c3/second'):
            now = boot_time()
            daemon.quarantine.note_death(death, [suspect], now)
        slow.release.set()
    assert_that(slow.received, Equals([HARMLESS_REQUEST[1]]))
    assert_that(answers[-1].kind, Equals('quarantined'))
    assert_that(answers[-1].ran, Equals('not-run'))


async def test_a_request_that_kills_after_its_deadline_is_quarantined(
    daemon, wait_until
):
    """The target may run it until it notices the cancellation."""
    for _ in range(2):
        target = SlowTarget()
        await target.start()
        daemon.configure(target.address)
        deadline = {'laburnumyard_deadline_ms': SHORT_MS}
        answer = await ask(daemon.callers, *CRASHING_REQUEST, **deadline)
        assert_that(answer.ran, Equals('unknown'))
        target.server.close()
        # The next request detects that the target has crashed.
        other = await ask(daemon.callers, *HARMLESS_REQUEST, **deadline)
        assert_that(other.ran, Equals('not-run'))
        target.release.set()
    last = SlowTarget()
    await last.start()
    last.release.set()
    daemon.configure(last.address)
    refused = await ask(daemon.callers, *CRASHING_REQUEST)
    last.server.close()
    assert_that(refused.kind, Equals('quarantined'))
    assert_that(last.received, Equals([]))
