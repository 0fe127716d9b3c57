import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from laburnumyard.daemon._cluster_view import LifecycleStage
from tests.daemon.daemon_fixtures import TOKEN, running
from tests.daemon.raw_http import ask, connected, encode

COUNT = b'{"count": 40}'
ORDER = ('POST', '/catalogue/order?echo=q1', COUNT)


async def order(daemon, ticket=None, body=COUNT, **headers):
    named = {'laburnumyard_ticket': ticket} | headers
    return await ask(daemon.callers, *ORDER[:2], body, **named)


async def fresh_ticket(daemon):
    return (await order(daemon)).ticket


@pytest.mark.anyio
async def test_an_order_without_a_ticket_gets_one_and_does_not_run(
    daemon, target_app
):
    answer = await order(daemon)
    assert_that(answer.status, Equals(428))
    assert_that(answer.ran, Equals('not-run'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
async def test_an_order_runs_once_and_its_answer_is_replayed(
    daemon, target_app
):
    ticket = await fresh_ticket(daemon)
    answers = [await order(daemon, ticket) for _ in range(3)]
    for answer in answers:
        assert_that(answer.status, Equals(200))
        assert_that(answer.body, Equals(answers[0].body))
    assert_that(target_app.state.log.runs, HasLength(1))


@pytest.mark.anyio
async def test_an_order_that_still_runs_is_told_so(
    daemon, target_app, wait_until
):
    ticket = await fresh_ticket(daemon)
    first = asyncio.create_task(order(daemon, ticket, x_work_ms=60))
    await wait_until(lambda: target_app.state.log.runs)
    again = await order(daemon, ticket, x_work_ms=60)
    assert_that(again.kind, Equals('still-running'))
    assert_that(again.ran, Equals('unknown'))
    assert_that((await first).status, Equals(200))
    assert_that(target_app.state.log.runs, HasLength(1))


@pytest.mark.anyio
async def test_another_order_with_the_ticket_conflicts(daemon, target_app):
    ticket = await fresh_ticket(daemon)
    await order(daemon, ticket)
    answer = await order(daemon, ticket, b'{"count": 41}')
    assert_that(answer.kind, Equals('ticket-conflict'))
    assert_that(target_app.state.log.runs, HasLength(1))


@pytest.mark.anyio
async def test_the_ticket_of_one_customer_serves_no_other(daemon, target_app):
    credentials = {
        'laburnumyard_customer': 'clinic',
        'authorization': f'Bearer {TOKEN}',
    }
    ticket = await fresh_ticket(daemon)
    mine = await order(daemon, ticket, **credentials)
    assert_that(mine.status, Equals(200))
    theirs = await order(daemon, ticket)
    assert_that(theirs.kind, Equals('ticket-conflict'))
    assert_that(target_app.state.log.runs, HasLength(1))


@pytest.mark.anyio
@pytest.mark.cell(step='issue-ticket', fault='kill')
@pytest.mark.parametrize('ticket', ['vm-1.0.0.0', 'vm-1.2.ffffffffff.1'])
async def test_a_ticket_of_another_incarnation_is_void(
    daemon, target_app, ticket
):
    answer = await order(daemon, ticket)
    assert_that(answer.kind, Equals('ticket-void'))
    assert_that(answer.ran, Equals('unknown'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
@pytest.mark.parametrize('ticket', ['x', 'vm-1.1.1', 'vm-1.1.1.+1', '\xff' * 9])
async def test_what_is_no_ticket_is_refused(daemon, ticket):
    answer = await order(daemon, ticket)
    assert_that(answer.status, Equals(400))


@pytest.mark.anyio
@pytest.mark.cell(step='cancel', fault='cut')
async def test_a_caller_that_leaves_does_not_cancel_its_order(
    daemon, target_app, wait_until
):
    ticket = await fresh_ticket(daemon)
    named = {'laburnumyard_ticket': ticket, 'x_work_ms': 150}
    async with connected(daemon.callers) as caller:
        caller.send(encode(*ORDER, **named))
        await wait_until(lambda: target_app.state.log.runs)
    # The sweep that detects disconnected callers runs every 50 ms.
    await wait_until(lambda: daemon.metrics.counts['callers_gone'])
    await wait_until(lambda: daemon.ticket_service.ledger.running == 0)
    answer = await order(daemon, ticket, x_work_ms=150)
    assert_that(answer.status, Equals(200))
    assert_that(target_app.state.log.runs, HasLength(1))
    assert_that(target_app.state.log.runs[0].cancelled, Equals(False))


@pytest.mark.anyio
@pytest.mark.cell(step='cancel', fault='cut')
async def test_a_caller_that_leaves_cancels_its_read(
    daemon, target_app, wait_until
):
    async with connected(daemon.callers) as caller:
        caller.send(encode(x_work_ms=5000))
        await wait_until(lambda: target_app.state.log.runs)
    await wait_until(lambda: target_app.state.log.runs[0].cancelled)


@pytest.mark.anyio
@pytest.mark.cell(step='issue-ticket', fault='cut')
async def test_an_issuer_that_cannot_be_asked_leaves_it_unsettled(
    daemon, target, target_app
):
    async with running('vm-2', 7) as issuer:
        issuer.configure(target)
        daemon.add_peer(issuer)
        ticket = await fresh_ticket(issuer)
        first = await order(daemon, ticket)
        replay = await order(issuer, ticket)
        assert_that(first.body, Equals(replay.body))
    answer = await order(daemon, ticket)
    assert_that(answer.kind, Equals('ticket-unsettled'))
    assert_that(answer.ran, Equals('unknown'))
    assert_that(target_app.state.log.runs, HasLength(1))


@pytest.mark.anyio
@pytest.mark.cell(step='issue-ticket', fault='kill')
async def test_an_issuer_that_was_restarted_voids_its_tickets(
    daemon, target, target_app
):
    async with running('vm-2', 7) as issuer:
        issuer.configure(target)
        ticket = await fresh_ticket(issuer)
    async with running('vm-2', 8) as restarted:
        restarted.configure(target)
        daemon.add_peer(restarted)
        answer = await order(daemon, ticket)
    assert_that(answer.kind, Equals('ticket-void'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
@pytest.mark.cell(step='drain', fault='kill')
async def test_a_drain_refuses_new_work_and_ends_what_is_in_flight(
    daemon, target_app, wait_until
):
    ticket = await fresh_ticket(daemon)
    held = [
        asyncio.create_task(order(daemon, ticket, x_work_ms=60)),
        asyncio.create_task(ask(daemon.callers, x_work_ms=60)),
    ]
    await wait_until(lambda: len(target_app.state.log.runs) == 2)
    daemon.view.stage = LifecycleStage.DRAINING
    daemon.ticket_service.ledger.drain()
    refused = await ask(daemon.callers)
    assert_that(refused.kind, Equals('shutting-down'))
    assert_that(refused.ran, Equals('not-run'))
    unsettled = await order(daemon, ticket, x_work_ms=60)
    assert_that(unsettled.ran, Equals('unknown'))
    for one in held:
        assert_that((await one).status, Equals(200))
    assert_that(target_app.state.log.runs, HasLength(2))
    assert_that(daemon.targets.is_idle, Equals(True))
