import asyncio
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from laburnumyard.schema._generated import messages
from laburnumyard.wire import LinkErrorKind, Peer
from laburnumyard.wire._outgoing import OutgoingLink
from tests.wire.conftest import TEST_TIMEOUT_S, run_relay, submit, wait_until

pytestmark = pytest.mark.anyio


async def ask(pool, peer, key, timeout_s=TEST_TIMEOUT_S):
    return await pool.request(peer, submit(key), timeout_s)


async def ask_all_held(pool, peer, daemon, keys):
    """Send requests concurrently and return responses in reverse order."""
    daemon.holds = True
    asked = [asyncio.ensure_future(ask(pool, peer, key)) for key in keys]
    await wait_until(lambda: len(daemon.received_messages) == len(keys))
    daemon.release()
    return await asyncio.gather(*asked)


def check_own_answers(keys, answers):
    """Check that each caller got the response to its own request."""
    assert_that([answer.ok.detail for answer in answers], Equals(keys))


async def test_answers_out_of_order_reach_their_own_callers(pool, peer, daemon):
    keys = [f'key-{place}' for place in range(50)]
    answers = await ask_all_held(pool, peer, daemon, keys)
    check_own_answers(keys, answers)


async def test_check_catches_answers_matched_by_arrival(
    pool, peer, daemon, monkeypatch
):
    def take_oldest(link, message):
        number = min(link.pending)
        right(link, replace(message, number=number))

    right = OutgoingLink.handle
    monkeypatch.setattr(OutgoingLink, 'handle', take_oldest)
    answers = await ask_all_held(pool, peer, daemon, ['a', 'b'])
    with pytest.raises(AssertionError):
        check_own_answers(['a', 'b'], answers)


async def test_late_answer_is_dropped_and_reaches_nobody_else(
    pool, peer, daemon
):
    daemon.holds = True
    asked = asyncio.ensure_future(ask(pool, peer, 'slow'))
    await wait_until(lambda: daemon.received_messages)
    asked.cancel()
    await wait_until(lambda: len(daemon.received_messages) == 2)
    daemon.release()
    answer = await ask(pool, peer, 'next')
    assert_that(answer.ok.detail, Equals('next'))
    assert_that(pool.slots['server'].link.dropped_answers, Equals(1))


async def test_peer_is_told_that_nobody_waits(pool, peer, daemon):
    daemon.holds = True
    answer = await ask(pool, peer, 'slow', timeout_s=0.2)
    assert_that(answer.error.kind, Is(LinkErrorKind.TIMEOUT))
    assert_that(answer.error.may_have_been_sent, Is(True))
    await wait_until(lambda: len(daemon.received_messages) == 2)
    _, cancel = daemon.received_messages[1]
    assert_that(cancel, Equals(messages.Cancel(number=1)))


async def test_wrong_incarnation_gets_no_message(pool, peer, daemon):
    answer = await ask(pool, replace(peer, incarnation=2), 'key')
    assert_that(answer.error.kind, Is(LinkErrorKind.WRONG_PEER))
    assert_that(answer.error.may_have_been_sent, Is(False))
    assert_that(daemon.received_messages, Equals([]))


async def test_any_incarnation_is_linked_after_the_wrong_one(pool, peer):
    await ask(pool, replace(peer, incarnation=2), 'key')
    await asyncio.sleep(pool.settings.backoff_max_s)
    answer = await ask(pool, replace(peer, incarnation=None), 'key')
    assert_that(answer.is_ok(), Is(True))


async def test_refused_daemon_gets_no_link(pool, peer, daemon, server):
    server.admits = lambda remote: remote.incarnation > 1
    answer = await ask(pool, peer, 'key')
    assert_that(answer.is_error(), Is(True))
    assert_that(daemon.received_messages, Equals([]))
    again = await ask(pool, peer, 'key')
    assert_that(again.error.kind, Is(LinkErrorKind.BACKING_OFF))


async def test_probe_of_a_link_is_no_dropped_answer(pool, peer, daemon):
    daemon.holds = True
    asked = asyncio.ensure_future(ask(pool, peer, 'slow'))
    await wait_until(lambda: daemon.received_messages)
    link = pool.slots['server'].link
    await wait_until(lambda: link.has_received_response)
    daemon.release()
    assert_that((await asked).ok.detail, Equals('slow'))
    assert_that(link.dropped_answers, Equals(0))


async def test_peer_without_a_link_is_forgotten(pool, server):
    pool.settings = replace(pool.settings, forget_after_s=0.02)
    await ask(pool, Peer('server', '127.0.0.1:9', 1), 'key')
    await wait_until(lambda: not pool.slots)


async def test_unreachable_peer_is_not_left_then_backed_off(pool, server):
    peer = Peer('server', '127.0.0.1:9', 1)
    first = await ask(pool, peer, 'key')
    second = await ask(pool, peer, 'key')
    assert_that(first.error.kind, Is(LinkErrorKind.CONNECT_FAILED))
    assert_that(second.error.kind, Is(LinkErrorKind.BACKING_OFF))
    assert_that(
        {first.error.may_have_been_sent, second.error.may_have_been_sent},
        Equals({False}),
    )


async def test_link_opens_again_after_the_backoff(pool, peer, daemon, server):
    await ask(pool, peer, 'first')
    for link in tuple(server.links):
        link.close(LinkErrorKind.CLOSED)
    await wait_until(lambda: pool.slots['server'].link is None)
    answer = await ask(pool, peer, 'second')
    assert_that(answer.ok.detail, Equals('second'))


async def test_silent_link_is_closed_and_replaced(pool, server, daemon):
    async with run_relay(server.address) as (relay, address):
        peer = Peer('server', address, 1)
        await ask(pool, peer, 'first')
        relay.drop_data()
        lost = await ask(pool, peer, 'lost')
        answer = await ask(pool, peer, 'second')
    assert_that(lost.error.kind, Is(LinkErrorKind.SILENT))
    assert_that(lost.error.may_have_been_sent, Is(True))
    assert_that(answer.ok.detail, Equals('second'))


async def test_request_that_waits_behind_a_full_socket_never_leaves(
    pool, peer, daemon
):
    await ask(pool, peer, 'first')
    link = pool.slots['server'].link
    link.pause_writing()
    queued = await ask(pool, peer, 'queued', timeout_s=0.05)
    link.resume_writing()
    await ask(pool, peer, 'last')
    assert_that(queued.error.kind, Is(LinkErrorKind.TIMEOUT))
    assert_that(queued.error.may_have_been_sent, Is(False))
    assert_that(daemon.keys(), Not(Contains('queued')))


async def test_queue_of_a_link_is_bounded(pool, peer, daemon):
    await ask(pool, peer, 'first')
    link = pool.slots['server'].link
    link.pause_writing()
    big = submit('big', b'x' * 4096)
    sent = [pool.send(peer, big) for _ in range(30)]
    kinds = {outcome.error.kind for outcome in sent if outcome.is_error()}
    assert_that(kinds, Equals({LinkErrorKind.QUEUE_FULL}))
    waiting = link.writer.queue.bulk.waiting_bytes
    assert_that(waiting <= link.settings.bulk_queue_bytes, Is(True))


async def test_fault_of_a_handler_stays_its_own(pool, peer, daemon):
    daemon.raises = True
    pool.send(peer, submit('bad'))
    await wait_until(lambda: daemon.received_messages)
    daemon.raises = False
    answer = await ask(pool, peer, 'good')
    assert_that(answer.ok.detail, Equals('good'))


async def test_ping_is_a_request_too(pool, peer):
    pong = await pool.request(peer, messages.Ping(number=0), TEST_TIMEOUT_S)
    assert_that(pong.ok, Equals(messages.Pong(number=1)))
