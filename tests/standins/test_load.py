import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from standins._answers import answer
from standins._asgi import Call
from standins._serve import serving
from standins.load import CallerClass, LoadSettings, run_load

pytestmark = pytest.mark.anyio

CALLERS = CallerClass('readers', connections=4, count=40, key_hash='7')


async def send(address, callers):
    settings = LoadSettings((address,), (callers,), keep_outcomes=True)
    return await run_load(settings)


async def test_each_answer_is_counted_once(target_address, target_app):
    report = await send(target_address, CALLERS)
    readers = report.classes['readers']
    assert_that((readers.sent, readers.whole), Equals((40, 40)))
    assert_that(target_app.state.log.count, Equals(40))
    echoes = {outcome.echo for outcome in report.outcomes}
    assert_that(echoes, HasLength(40))
    assert_that(list(report.lines()), Contains('readers.whole=40'))


async def test_foreign_answer_is_noticed():
    async def confuse(scope, receive, send):
        await answer(Call(scope, receive, send), 200, b'echo=other id=\nend=')

    async with serving(confuse) as address:
        report = await send(address, CALLERS)
    readers = report.classes['readers']
    assert_that((readers.whole, readers.foreign), Equals((0, 40)))


async def test_ticket_is_sent_back():
    seen = []

    async def issue(scope, receive, send):
        call = Call(scope, receive, send)
        ticket = call.headers.get(b'laburnumyard-ticket')
        seen.append(ticket)
        echo = call.query['echo']
        if ticket:
            padding = 'x' * CALLERS.size
            body = f'echo={echo} {padding}\nend={echo}'.encode()
            await answer(call, 200, body)
        else:
            headers = [(b'laburnumyard-ticket', b't-%s' % echo.encode())]
            await answer(call, 428, headers=headers)

    async with serving(issue) as address:
        callers = CallerClass('orders', connections=1, count=2, tickets=True)
        report = await send(address, callers)
    tickets = [None, b't-orders-0-1', None, b't-orders-0-2']
    assert_that(seen, Equals(tickets))
    assert_that(report.classes['orders'].whole, Equals(2))


async def test_broken_connections_are_counted():
    report = await send('127.0.0.1:9', CALLERS)
    readers = report.classes['readers']
    assert_that((readers.sent, readers.broken), Equals((40, 40)))
    assert_that(readers.statuses, Equals({0: 40}))
