import asyncio

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from laburnumyard.core.requests import Quarantine
from laburnumyard.daemon._crash_detection import (
    CrashDetector,
    TargetCrashMonitor,
)
from laburnumyard.schema._generated.objects import Target
from tests.daemon.conftest import TEST_TIMEOUT_S

pytestmark = pytest.mark.anyio


async def listen(connections):
    """Close the listener after some connections; never for None."""
    accepted = []

    def accept(reader, writer):
        accepted.append(writer)
        if len(accepted) == connections:
            server.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    target = Target(
        name='catalogue-1',
        service='catalogue',
        data_centre='lima-a',
        address=f'{host}:{port}',
        slots=3,
        connections=110,
    )
    return server, target


async def note_broken_off(target, job):
    """Report a broken connection; return the suspects that were broadcast."""
    broadcast = []
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            deaths = CrashDetector(
                'vm-1', Quarantine(), broadcast.extend, tasks
            )
            TargetCrashMonitor(target, deaths).on_connection_broken(
                job, opened=0
            )
    return broadcast


@pytest.mark.cell(step='send', fault='poison-request')
async def test_target_whose_listener_closes_last_has_died(job):
    _, target = await listen(connections=1)
    assert_that(await note_broken_off(target, job), HasLength(1))


async def test_target_that_goes_on_accepting_has_not_died(job):
    server, target = await listen(connections=None)
    broadcast = await note_broken_off(target, job)
    server.close()
    assert_that(broadcast, Equals([]))
