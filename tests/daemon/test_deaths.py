import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.daemon.http import ask
from tests.daemon.world import running

READ = ('GET', '/catalogue/poison')


class DyingTarget:
    """Stops to listen once a request has come, then breaks off."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.requests = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        self.server.close()
        writer.close()


async def kill_one(daemon, wait_until):
    """Let a target die of a request, and the daemon notice its death."""
    target = DyingTarget()
    await target.start()
    daemon.configure(target.address)
    noted = daemon.targets.deaths.deaths
    answer = await ask(daemon.callers, *READ)
    assert_that(target.requests, Equals(1))
    await wait_until(lambda: noted)
    # A death long after the last one is another death.
    noted.clear()
    return answer


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='poison-request')
async def test_the_second_death_quarantines_the_request(daemon, wait_until):
    for _ in range(2):
        answer = await kill_one(daemon, wait_until)
        assert_that(answer.ran, Equals('unknown'))
    refused = await ask(daemon.callers, *READ)
    assert_that(refused.kind, Equals('quarantined'))
    assert_that(refused.ran, Equals('not-run'))


@pytest.mark.anyio
@pytest.mark.cell(step='retry', fault='poison-request')
async def test_a_resend_through_another_daemon_is_refused(
    daemon, wait_until, scripted
):
    for _ in range(2):
        await kill_one(daemon, wait_until)
    async with scripted(None) as target, running('vm-2') as other:
        daemon.configure(target.address)
        other.configure(target.address)
        other.know(daemon)
        other.view.dispatchers['c1'] = daemon.view.name
        refused = await ask(other.callers, *READ)
        assert_that(refused.kind, Equals('quarantined'))
        assert_that(target.received, Equals([]))


@pytest.mark.anyio
async def test_a_broken_connection_alone_is_no_death(daemon, scripted):
    async with scripted(None) as target:
        daemon.configure(target.address)
        for _ in range(3):
            answer = await ask(daemon.callers, *READ)
            assert_that(answer.kind, Equals('target-broke-off'))
