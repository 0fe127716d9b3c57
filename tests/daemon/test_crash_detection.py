import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.clocks import boot_time
from tests.daemon.daemon_fixtures import running
from tests.daemon.raw_http import ask

CRASHING_REQUEST = ('GET', '/catalogue/poison')


class CrashingTarget:
    """Closes its listener and the connection on the first request."""

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


@pytest.fixture
def crash_one_target(daemon, wait_until):
    """Crash a target by a request, and wait until the daemon detects it."""

    async def crash(daemon=daemon):
        target = CrashingTarget()
        await target.start()
        daemon.configure(target.address)
        noted = len(daemon.relay.suspects)
        answer = await ask(daemon.callers, *CRASHING_REQUEST)
        assert_that(target.requests, Equals(1))
        await wait_until(lambda: len(daemon.relay.suspects) > noted)
        return answer

    return crash


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='poison-request')
async def test_the_second_death_quarantines_the_request(
    daemon, crash_one_target
):
    for _ in range(2):
        answer = await crash_one_target()
        assert_that(answer.ran, Equals('unknown'))
    refused = await ask(daemon.callers, *CRASHING_REQUEST)
    assert_that(refused.kind, Equals('quarantined'))
    assert_that(refused.ran, Equals('not-run'))


@pytest.mark.anyio
@pytest.mark.cell(step='retry', fault='poison-request')
async def test_a_resend_through_another_daemon_is_refused(
    daemon, crash_one_target, scripted
):
    for _ in range(2):
        await crash_one_target()
    async with scripted(None) as target, running('vm-2') as other:
        daemon.configure(target.address)
        other.configure(target.address)
        other.add_peer(daemon)
        other.view.dispatchers['c1'] = daemon.view.name
        refused = await ask(other.callers, *CRASHING_REQUEST)
        assert_that(refused.kind, Equals('quarantined'))
        assert_that(target.received, Equals([]))


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='poison-request')
async def test_one_death_that_two_daemons_notice_counts_once(
    daemon, crash_one_target
):
    """During a change of dispatcher both daemons dispatch to a target."""
    async with running('vm-2') as other:
        for each in (daemon, other):
            await crash_one_target(each)
        daemon.quarantine.merge(other.relay.suspects, boot_time())
        other.quarantine.merge(daemon.relay.suspects, boot_time())
        for each in (daemon, other):
            answer = await crash_one_target(each)
            assert_that(answer.kind, Equals('target-broke-off'))


@pytest.mark.anyio
async def test_a_broken_connection_alone_is_no_death(daemon, scripted):
    async with scripted(None) as target:
        daemon.configure(target.address)
        for _ in range(3):
            answer = await ask(daemon.callers, *CRASHING_REQUEST)
            assert_that(answer.kind, Equals('target-broke-off'))
