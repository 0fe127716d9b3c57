import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from standins._load_connection import BrokenConnectionError, connect
from standins._slots import Slots
from standins._target_state import read_clock_ms

pytestmark = pytest.mark.anyio

GENEROUS_S = 20


def encode(echo, *headers, work_ms=0, path='/catalogue/read'):
    lines = [f'GET {path}?echo={echo}&work_ms={work_ms} HTTP/1.1', *headers]
    return '\r\n'.join([*lines, 'host: x', '\r\n']).encode()


@pytest.fixture
def ask(target_address):
    """Send one request on a fresh connection."""

    async def exchange(*arguments, **options):
        connection = await connect(target_address)
        try:
            with anyio.fail_after(GENEROUS_S):
                return await connection.exchange(
                    encode(*arguments, **options),
                )
        finally:
            connection.close()

    return exchange


async def ask_all(ask, count, **options):
    replies = []

    async def note(number):
        replies.append(await ask(number, **options))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(note, number)
    return replies


async def test_answer_shows_whose_it_is(ask, target_app):
    reply = await ask('a1', 'laburnumyard-request-id: r1')
    assert_that(reply.body.startswith(b'echo=a1 id=r1 key='), Is(True))
    assert_that(len(reply.body), Equals(1024))
    run = target_app.state.log.runs[0]
    assert_that((run.echo, run.request_id), Equals(('a1', 'r1')))
    assert_that(run.start_ms <= run.end_ms, Is(True))


async def test_slots_and_queue_are_bounded(ask, target_app):
    replies = await ask_all(ask, 4, work_ms=100)
    statuses = sorted(reply.status for reply in replies)
    assert_that(statuses, Equals([200, 200, 200, 503]))
    shed = [reply for reply in replies if reply.status == 503]
    assert_that(shed[0].header('laburnumyard-not-run'), Equals('yes'))
    assert_that(target_app.state.log.count, Equals(3))


async def test_draining_target_refuses_new_work(ask, target_app):
    target_app.state.is_draining = True
    reply = await ask('x')
    assert_that(reply.status, Equals(503))
    assert_that(target_app.state.log.count, Equals(0))


@pytest.mark.parametrize(('late_ms', 'status'), [(-60_000, 503), (60_000, 200)])
async def test_expired_request_does_not_run(ask, target_app, late_ms, status):
    expires_ms = int(read_clock_ms()) + late_ms
    reply = await ask('x', f'laburnumyard-expires-ms: {expires_ms}')
    assert_that(reply.status, Equals(status))
    assert_that(target_app.state.log.count, Equals(int(status == 200)))


async def test_silent_connection_stays_silent_and_a_new_one_works(
    ask,
    target_app,
    target_address,
):
    old = await connect(target_address)
    await old.exchange(encode('before'))
    target_app.state.faults.silent = True
    target_app.state.settle_faults()
    reply = await ask('fresh')
    assert_that(reply.status, Equals(200))
    with pytest.raises(TimeoutError), anyio.fail_after(0.05):
        await old.exchange(encode('silent'))
    assert_that(target_app.state.log.count, Equals(2))
    old.close()


async def test_frozen_target_goes_on_as_if_nothing_happened(ask, target_app):
    target_app.state.faults.frozen = True
    with pytest.raises(TimeoutError), anyio.fail_after(0.05):
        await ask('one')
    target_app.state.faults.frozen = False
    target_app.state.settle_faults()
    reply = await ask('two')
    assert_that(reply.status, Equals(200))


async def test_refused_caller_is_told(target_address):
    with pytest.raises(BrokenConnectionError):
        await connect('127.0.0.1:9')


def test_cold_target_works_longer():
    clock_ms = [1000]
    slots = Slots(1, 0, cold_start_s=2, clock_ms=lambda: clock_ms[0])
    stretched = [slots.stretch(10)]
    clock_ms[0] = 2000
    stretched.append(slots.stretch(10))
    clock_ms[0] = 3000
    stretched.append(slots.stretch(10))
    assert_that(stretched, Equals([50, 30, 10]))
