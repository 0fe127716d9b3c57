"""Responses of targets with a status that is none, or without a final one."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from tests.gateway.conftest import (
    SIGNED,
    FakeSlots,
    FakeTarget,
    answer,
    make_request,
    make_route,
    make_router,
)

pytestmark = pytest.mark.anyio
# Far above the time in which a failed target must be given up.
TIMEOUT_S = 5.0
GIVEN_UP_S = 1.0
ORDER = make_route(is_repeatable=False, timeout_s=TIMEOUT_S)
READ = make_route(timeout_s=TIMEOUT_S)
OWN = f'{SIGNED}laburnumyard-attempt-id: attempt-1\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
STATUSES = (
    *('000', '001', '099', '600', '799', '999'),
    # Not three digits.
    *('20', '2', '1000', '65736', '-200', '+200', '2x0', ''),
    # No upgrade was asked for.
    '101',
)
UNFRAMED = b'HTTP/1.1 %b X\r\nlaburnumyard-instance-signature: s\r\n\r\n'
FAILED_TARGETS = {
    **{f'{status} whole': answer(status, 'x', OWN) for status in STATUSES},
    **{
        f'{status} without a length': UNFRAMED % status.encode()
        for status in STATUSES
    },
    'interim, then invalid': CONTINUE + answer('000'),
    'interim with a length': answer('103', 'foreign', OWN) + answer(),
    'interim with chunks': (
        b'HTTP/1.1 103 X\r\ntransfer-encoding: chunked\r\n\r\n'
        b'7\r\nforeign\r\n0\r\n\r\n' + answer()
    ),
    'status line only': b'HTTP/1.1 000 X\r\n',
}
# Status 199 is interim, as 100 and 103.
INTERIM = {
    name: b'HTTP/1.1 %b X\r\nlink: x\r\n\r\n' % name.encode()
    for name in ('100', '103', '199')
}


class SilentTarget(FakeTarget):
    """Sends its script, keeps the connection open, and notes its end."""

    def __init__(self, script, *, pause_s=0, repeats=1):
        super().__init__()
        self.script = script
        self.pause_s = pause_s
        self.repeats = repeats
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            for _ in range(self.repeats):
                writer.write(self.script)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            await reader.read()
        except ConnectionError:
            pass  # The gateway aborts the connection.
        self.closed.set()
        writer.close()


@asynccontextmanager
async def routed(*targets, route):
    """Give a router with one slot of each target, and their outcomes."""
    async with asyncio.TaskGroup() as tasks:
        stop = asyncio.Event()
        for target in targets:
            ready = asyncio.Event()
            tasks.create_task(_run(target, ready, stop))
            await ready.wait()
        slots = FakeSlots(*[target.address for target in targets])
        router = make_router(slots, route)
        try:
            yield router, slots
        finally:
            router.pool.close()
            stop.set()


async def _run(target, ready, stop):
    async with target.running():
        ready.set()
        await stop.wait()


async def timed(serving):
    loop = asyncio.get_running_loop()
    started = loop.time()
    response = await serving
    return response, loop.time() - started


def long_request():
    return make_request(deadline_ms=TIMEOUT_S * 1000)


# A caller got status 999 as a response, and waited for its deadline on 000.
@pytest.mark.parametrize('script', FAILED_TARGETS.values(), ids=FAILED_TARGETS)
async def test_a_status_that_is_none_is_a_failed_target(script):
    target = SilentTarget(script)
    async with routed(target, route=ORDER) as (router, slots):
        response, took_s = await timed(router.serve(long_request()))
        assert_that((response.status, response.body), Equals((502, b'')))
        # A refusal would promise that the request did not run.
        assert_that(dict(response.headers).get('retry-after'), Equals(None))
        assert_that(took_s, LessThan(GIVEN_UP_S))
        assert_that(slots.outcomes, Equals(['invalid-response']))
        assert_that(len(slots.asked), Equals(1))
        await asyncio.wait_for(target.closed.wait(), GIVEN_UP_S)


@pytest.mark.parametrize('script', FAILED_TARGETS.values(), ids=FAILED_TARGETS)
async def test_a_repeatable_request_goes_to_another_target(script):
    failed, sound = SilentTarget(script), FakeTarget()
    async with routed(failed, sound, route=READ) as (router, slots):
        response, took_s = await timed(router.serve(long_request()))
        assert_that((response.status, response.body), Equals((200, b'whole')))
        assert_that(took_s, LessThan(GIVEN_UP_S))
        assert_that(slots.outcomes, Equals(['invalid-response', 'answered']))
        await asyncio.wait_for(failed.closed.wait(), GIVEN_UP_S)


async def test_two_failed_targets_are_a_502_for_a_repeatable_request():
    failed = [SilentTarget(answer('999', 'x', OWN)) for _ in range(2)]
    async with routed(*failed, route=READ) as (router, _):
        response, _ = await timed(router.serve(long_request()))
    assert_that((response.status, response.body), Equals((502, b'')))


async def test_a_kept_connection_ends_at_an_invalid_status():
    """The first response is valid, so the connection is used again."""
    target = FakeTarget(answer(200, 'one', OWN), answer('000', 'x', OWN))
    async with routed(target, route=READ) as (router, slots):
        slots.addresses = [target.address] * 3
        first = await router.serve(long_request())
        again, took_s = await timed(router.serve(long_request()))
        opened = router.pool.opened
    assert_that((first.body, again.body), Equals((b'one', b'whole')))
    assert_that(took_s, LessThan(GIVEN_UP_S))
    assert_that(opened, Equals(2))


@pytest.mark.parametrize('status', [200, 299, 399, 404, 499, 500, 599])
async def test_every_final_status_is_passed_on(status):
    target = FakeTarget(answer(status, 'own', OWN))
    async with routed(target, route=ORDER) as (router, _):
        response = await router.serve(long_request())
    assert_that((response.status, response.body), Equals((status, b'own')))


@pytest.mark.parametrize('script', INTERIM.values(), ids=INTERIM)
async def test_a_target_may_work_for_long_after_an_interim_response(script):
    target = FakeTarget()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(script)
        await asyncio.sleep(GIVEN_UP_S)
        writer.write(script + answer(200, 'late', OWN))
        await reader.read()
        writer.close()

    target.serve = serve
    async with routed(target, route=ORDER) as (router, _):
        response = await router.serve(long_request())
    assert_that((response.status, response.body), Equals((200, b'late')))


@pytest.mark.parametrize('route', [ORDER, READ], ids=['once', 'repeatable'])
@pytest.mark.parametrize('script', INTERIM.values(), ids=INTERIM)
async def test_silence_after_an_interim_response_ends_with_the_timeout(
    script, route
):
    """An interim response says that the request may be running."""
    target = SilentTarget(script)
    async with routed(target, route=route) as (router, _):
        request = make_request(deadline_ms=300)
        response, took_s = await timed(router.serve(request))
        assert_that([502, 504], Contains(response.status))
        assert_that(took_s, LessThan(GIVEN_UP_S))
        await asyncio.wait_for(target.closed.wait(), GIVEN_UP_S)


@pytest.mark.parametrize('route', [ORDER, READ], ids=['once', 'repeatable'])
@pytest.mark.parametrize('script', INTERIM.values(), ids=INTERIM)
async def test_interim_responses_without_end_are_cut(script, route):
    """Long before the timeout, though each says that the target works."""
    target = SilentTarget(script, pause_s=0.01, repeats=1000)
    async with routed(target, FakeTarget(), route=route) as (router, slots):
        response, took_s = await timed(router.serve(long_request()))
        expected = 200 if route.is_repeatable else 502
        assert_that(response.status, Equals(expected))
        assert_that(took_s, LessThan(GIVEN_UP_S))
        assert_that(slots.outcomes[0], Equals('oversized'))
        await asyncio.wait_for(target.closed.wait(), GIVEN_UP_S)


@pytest.mark.parametrize('route', [ORDER, READ], ids=['once', 'repeatable'])
@pytest.mark.parametrize('script', INTERIM.values(), ids=INTERIM)
async def test_an_end_after_an_interim_response_is_noticed(script, route):
    target = FakeTarget()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(script)
        writer.close()

    target.serve = serve
    async with routed(target, FakeTarget(), route=route) as (router, slots):
        response, took_s = await timed(router.serve(long_request()))
    expected = 200 if route.is_repeatable else 502
    assert_that(response.status, Equals(expected))
    assert_that(took_s, LessThan(GIVEN_UP_S))
    assert_that(slots.outcomes[0], Equals('broke-off'))
