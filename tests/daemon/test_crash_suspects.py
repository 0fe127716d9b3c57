"""Poison that waits for its turn, and poison that outlives its deadline."""

import asyncio

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.clocks import boot_time
from laburnumyard.daemon._crash_detection import fingerprint
from tests.daemon.raw_http import ask

READ = ('GET', '/catalogue/poison')
INNOCENT = ('GET', '/catalogue/innocent')
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
SHORT_MS = 300

pytestmark = pytest.mark.anyio


class SlowTarget:
    """Answers each request when it is let go."""

    def __init__(self):
        self.received = []
        self.go = anyio.Event()

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
            await self.go.wait()
            writer.write(ANSWER)
        writer.close()


@pytest.fixture
async def slow(anyio_backend):
    target = SlowTarget()
    await target.start()
    yield target
    target.go.set()
    target.server.close()


def waiting_job(daemon):
    """Give the job that waits in the queue of the only dispatcher."""
    dispatcher = daemon.targets.dispatchers['c1']
    jobs = [each.job for each in dispatcher.pending.values()]
    return next((job for job in jobs if job.path == READ[1]), None)


async def test_a_request_is_not_sent_if_it_was_quarantined_in_the_queue(
    daemon, slow, wait_until
):
    daemon.configure(slow.address, slots=1)
    answers = []

    async def send(request):
        answers.append(await ask(daemon.callers, *request))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, INNOCENT)
        await wait_until(lambda: slow.received)
        tasks.start_soon(send, READ)
        await wait_until(lambda: waiting_job(daemon))
        suspect = fingerprint(waiting_job(daemon))
        for death in ('c2/first', 'c3/second'):
            now = boot_time()
            daemon.quarantine.note_death(death, [suspect], now)
        slow.go.set()
    assert_that(slow.received, Equals([INNOCENT[1]]))
    assert_that(answers[-1].kind, Equals('quarantined'))
    assert_that(answers[-1].ran, Equals('not-run'))


async def test_a_request_that_kills_after_its_deadline_is_quarantined(
    daemon, wait_until
):
    """It runs on at a target that has not yet noticed its cancellation."""
    for _ in range(2):
        target = SlowTarget()
        await target.start()
        daemon.configure(target.address)
        deadline = {'laburnumyard_deadline_ms': SHORT_MS}
        answer = await ask(daemon.callers, *READ, **deadline)
        assert_that(answer.ran, Equals('unknown'))
        target.server.close()
        # The next request finds the target dead.
        other = await ask(daemon.callers, *INNOCENT, **deadline)
        assert_that(other.ran, Equals('not-run'))
        target.go.set()
    last = SlowTarget()
    await last.start()
    last.go.set()
    daemon.configure(last.address)
    refused = await ask(daemon.callers, *READ)
    last.server.close()
    assert_that(refused.kind, Equals('quarantined'))
    assert_that(last.received, Equals([]))
