import asyncio
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.core import membership
from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests import MAX_HOPS
from laburnumyard.daemon._forwarding import _outcome
from laburnumyard.schema._generated.messages import (
    Header,
    Submit,
    SubmitAnswer,
)
from laburnumyard.wire import Peer
from tests.daemon.daemon_fixtures import TOKEN, running
from tests.daemon.raw_http import ask, connected, encode

SUBMIT = Submit(
    number=0,
    request_id='vm-2-1',
    service='catalogue',
    target='c1',
    customer='',
    key='bench-17',
    method='GET',
    path='/catalogue/read',
    headers=(),
    body=b'',
    deadline_ms=5000,
    repeatable=True,
    ticket='',
    hops=1,
)
TEST_TIMEOUT_S = 20


@pytest.fixture
async def forwarder(daemon, target):
    """A daemon that forwards every request to the first one."""
    async with running('vm-2') as forwarding_daemon:
        forwarding_daemon.configure(target)
        forwarding_daemon.add_peer(daemon)
        forwarding_daemon.view.dispatchers['c1'] = daemon.view.name
        yield forwarding_daemon


async def submit(forwarder, daemon, **fields):
    peer = forwarder.view.peers[daemon.view.name]
    answer = await forwarder.pool.request(
        peer, replace(SUBMIT, **fields), TEST_TIMEOUT_S
    )
    return answer.ok


@pytest.mark.anyio
async def test_a_request_takes_a_hop(forwarder, target_app):
    answer = await ask(forwarder.callers, 'GET', '/catalogue/read?echo=e1')
    assert_that(answer.status, Equals(200))
    assert_that(target_app.state.log.runs[0].echo, Equals('e1'))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('fields', 'kind'),
    [
        ({'target': 'nothing'}, ErrorKind.NO_OWNER),
        ({'target': 'o1'}, ErrorKind.NO_OWNER),
        ({'service': 'orders'}, ErrorKind.NO_OWNER),
        ({'service': 'nothing'}, ErrorKind.NO_OWNER),
        ({'target': '', 'ticket': ''}, ErrorKind.BAD_REQUEST),
        ({'target': '', 'ticket': 'no ticket'}, ErrorKind.BAD_REQUEST),
        ({'target': '', 'ticket': 'vm-9.1.1.1'}, ErrorKind.TICKET_VOID),
        ({'repeatable': False}, ErrorKind.BAD_REQUEST),
        ({'hops': MAX_HOPS + 2}, ErrorKind.NO_OWNER),
        ({'hops': 255}, ErrorKind.NO_OWNER),
        ({'path': '/catalogue/a\r\nx: 1'}, ErrorKind.BAD_REQUEST),
        ({'path': ''}, ErrorKind.BAD_REQUEST),
        ({'method': 'GET /'}, ErrorKind.BAD_REQUEST),
        ({'headers': (Header('x', '\u0416'),)}, ErrorKind.BAD_REQUEST),
        ({'headers': (Header('\u0416', 'x'),)}, ErrorKind.BAD_REQUEST),
        ({'key': '\x00'}, ErrorKind.BAD_REQUEST),
    ],
)
async def test_a_bad_submit_is_a_typed_failure(
    forwarder, daemon, target_app, fields, kind
):
    answer = await submit(forwarder, daemon, **fields)
    assert_that(ErrorKind(answer.kind), Is(kind))
    assert_that(target_app.state.log.runs, HasLength(0))
    assert_that((await submit(forwarder, daemon)).status, Equals(200))


@pytest.mark.anyio
async def test_a_hop_carries_the_customer_that_the_entry_has_checked(
    forwarder, daemon
):
    customers = []
    run = daemon.receiver.run_here

    async def note(job, target):
        customers.append(job.customer)
        return await run(job, target)

    daemon.receiver.run_here = note
    credentials = {
        'laburnumyard_customer': 'clinic',
        'authorization': f'Bearer {TOKEN}',
    }
    assert_that(
        (await ask(forwarder.callers, **credentials)).status, Equals(200)
    )
    assert_that((await ask(forwarder.callers)).status, Equals(200))
    forged = credentials | {'authorization': 'Bearer forged'}
    assert_that((await ask(forwarder.callers, **forged)).status, Equals(401))
    assert_that(customers, Equals(['clinic', '']))


@pytest.mark.anyio
async def test_a_submit_before_the_configuration_is_typed(forwarder, daemon):
    daemon.view.configuration = None
    answer = await submit(forwarder, daemon, target='', ticket='vm-1.9.1.1')
    assert_that(answer.kind, Equals('ticket-void'))
    answer = await submit(forwarder, daemon)
    assert_that(answer.kind, Equals('no-owner'))


@pytest.mark.anyio
async def test_a_fault_of_the_receiver_is_answered(forwarder, daemon):
    async def fail(job, target):
        raise ValueError('a fault')

    daemon.receiver.run_here = fail
    answer = await submit(forwarder, daemon)
    assert_that(answer.kind, Equals('internal'))


@pytest.mark.anyio
async def test_an_answer_that_fits_no_frame_is_typed(
    forwarder, daemon, scripted
):
    """The head of a response may be larger than a link's frame limit."""
    filler = b'x-filler: %b\r\n' % (b'x' * 8000)
    huge = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n%b\r\n' % (filler * 7)
    async with scripted(huge) as target:
        daemon.configure(target.address)
        answer = await submit(forwarder, daemon)
    assert_that(answer.status in {0, 200}, Is(True))


ANSWER = SubmitAnswer(1, '', '', 200, (), b'')


@pytest.mark.parametrize(
    'fields',
    [
        {'kind': 'nothing-known'},
        {'status': 0},
        {'status': 101},
        {'status': 999},
        {'headers': (Header('x y', ''),)},
        {'headers': (Header('', ''),)},
        {'headers': (Header('x', 'a\r\nb: c'),)},
        {'headers': (Header('content-length', '3'),)},
        {'headers': (Header('Transfer-Encoding', 'chunked'),)},
        {'headers': (Header('connection', 'close'),)},
        {'headers': (Header('x', '\u0416'),)},
        {'headers': (Header('\u0416', 'x'),)},
    ],
)
def test_an_answer_that_cannot_be_told_is_a_typed_failure(fields):
    outcome = _outcome(replace(ANSWER, **fields))
    assert_that(outcome.error.kind, Is(ErrorKind.PEER_BROKE_OFF))


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='kill')
async def test_a_peer_that_is_gone_did_not_run_it(
    forwarder, daemon, target_app
):
    forwarder.view.peers['vm-1'] = Peer('vm-1', '127.0.0.1:1', 1)
    answer = await ask(forwarder.callers, laburnumyard_deadline_ms=200)
    assert_that(answer.ran, Equals('not-run'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
@pytest.mark.cell(step='answer', fault='kill')
async def test_a_peer_that_dies_meanwhile_leaves_it_unknown(
    forwarder, daemon, target_app, wait_until
):
    asking = asyncio.create_task(ask(forwarder.callers, x_work_ms=5000))
    await wait_until(lambda: target_app.state.log.runs)
    forwarder.view.dispatchers['c1'] = None
    for link in tuple(daemon.server.links):
        link.transport.abort()
    answer = await asking
    assert_that(answer.ran, Equals('unknown'))
    await wait_until(lambda: target_app.state.log.runs[0].cancelled)


@pytest.mark.anyio
@pytest.mark.cell(step='cancel', fault='cut')
async def test_a_caller_that_leaves_cancels_its_read_over_a_hop(
    forwarder, target_app, wait_until
):
    async with connected(forwarder.callers) as caller:
        caller.send(encode(x_work_ms=5000))
        await wait_until(lambda: target_app.state.log.runs)
    await wait_until(lambda: target_app.state.log.runs[0].cancelled)


@pytest.mark.anyio
async def test_peer_whose_link_breaks_is_probed(daemon, target, wait_until):
    """The probe doesn't depend on a request to the peer."""
    async with running('vm-2') as other:
        other.configure(target)
        daemon.add_peer(other)
        daemon.view.dispatchers['c1'] = 'vm-2'
        assert_that((await ask(daemon.callers)).status, Equals(200))
    await wait_until(lambda: daemon.members.events)
    expected = [membership.LinkLost('vm-2')]
    assert_that(daemon.members.events, Equals(expected))
