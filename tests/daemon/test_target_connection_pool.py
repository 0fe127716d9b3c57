import asyncio
from collections import Counter
from dataclasses import replace
from itertools import chain

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clocks import boot_time
from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.key_hashing import hash_key
from laburnumyard.core.requests._connections import (
    IDLE_LIMIT_S,
    UNREPEATABLE_IDLE_LIMIT_S,
)
from laburnumyard.daemon._job import Job
from tests.daemon.daemon_fixtures import running
from tests.daemon.raw_http import ask

EMPTY = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
HOLD = b''


def not_run(status):
    head = b'content-length: 0\r\nlaburnumyard-not-run: yes'
    return b'HTTP/1.1 %b x\r\n%b\r\n\r\n' % (status, head)


def job(name='a', repeatable=False, seconds=5.0, **fields):
    return Job(
        request_id=name,
        service='catalogue',
        customer='',
        key='k',
        key_hash=hash_key('k'),
        operation='POST order',
        method='POST',
        path='/catalogue/order',
        headers=(),
        body=b'',
        deadline=boot_time() + seconds,
        repeatable=repeatable,
        ticket='' if repeatable else 't',
        hops=0,
        **fields,
    )


@pytest.fixture
async def pool_for(anyio_backend):
    """Return a function that gives a daemon's connection pool for a target."""
    async with running() as daemon:

        def make(address):
            daemon.configure(address)
            daemon.targets._start('c1')
            return daemon.targets.connection_pools['c1']

        yield make


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (not_run(b'421'), ErrorKind.NOT_OWNER),
        (not_run(b'503'), ErrorKind.TARGET_SHED),
        (None, ErrorKind.TARGET_BROKE_OFF),
        (HOLD, ErrorKind.DEADLINE_AFTER_START),
        (b'HTTP/1.1 200 OK\r\n\r\n', ErrorKind.DEADLINE_AFTER_START),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf',
            ErrorKind.DEADLINE_AFTER_START,
        ),
        (b'garbage\r\n\r\n', ErrorKind.TARGET_BROKE_OFF),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n',
            ErrorKind.DEADLINE_AFTER_START,
        ),
        # Statuses that cannot be returned to a caller.
        (
            b'HTTP/1.1 999 x\r\ncontent-length: 0\r\n\r\n',
            ErrorKind.TARGET_BROKE_OFF,
        ),
        (
            b'HTTP/1.1 000 x\r\ncontent-length: 0\r\n\r\n',
            ErrorKind.TARGET_BROKE_OFF,
        ),
        (b'HTTP/1.1 099 x\r\n\r\n', ErrorKind.TARGET_BROKE_OFF),
        (b'HTTP/1.1 600 x\r\n\r\n', ErrorKind.TARGET_BROKE_OFF),
        (b'HTTP/1.1 101 x\r\n\r\n', ErrorKind.TARGET_BROKE_OFF),
        (b'HTTP/1.1 20 OK\r\n\r\n', ErrorKind.TARGET_BROKE_OFF),
        (
            b'HTTP/1.1 100 x\r\n\r\n' * 20,
            ErrorKind.TARGET_BROKE_OFF,
        ),
        # An interim response alone is no failure before the deadline.
        (b'HTTP/1.1 100 x\r\n\r\n', ErrorKind.DEADLINE_AFTER_START),
    ],
)
async def test_answers_that_are_none_get_their_kind(
    scripted, pool_for, answer, kind
):
    async with scripted(answer) as target:
        outcome = await pool_for(target.address).run(job(seconds=0.1))
    assert_that(outcome.error.kind, Is(kind))


@pytest.mark.anyio
async def test_a_refusal_without_its_header_may_have_run(scripted, pool_for):
    answer = b'HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n'
    async with scripted(answer) as target:
        outcome = await pool_for(target.address).run(job())
    assert_that(outcome.ok.status, Equals(503))


@pytest.mark.anyio
async def test_headers_of_the_daemon_cannot_be_forged_by_a_target(
    scripted, pool_for
):
    forged = (
        b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
        b'laburnumyard-ran: not-run\r\nlaburnumyard-ticket: x\r\n'
        b'x-hop: 1\r\nconnection: x-hop\r\nx-kept: 1\r\n\r\n'
    )
    async with scripted(forged) as target:
        outcome = await pool_for(target.address).run(job())
    assert_that(outcome.ok.headers, Equals((('x-kept', '1'),)))


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='silent-connection')
async def test_a_stale_connection_never_loses_an_order(scripted, pool_for):
    """The target closes an idle connection while the order is in transit."""
    async with scripted(EMPTY, None, EMPTY) as target:
        pool = pool_for(target.address)
        assert_that((await pool.run(job(repeatable=True))).is_ok(), Is(True))
        pooled = next(iter(pool.idle.values()))
        aged = boot_time() - UNREPEATABLE_IDLE_LIMIT_S - 0.01
        pooled.policy_state = replace(pooled.policy_state, last_answer=aged)
        target.answers.pop(0)
        outcome = await pool.run(job())
        assert_that(outcome.is_ok(), Is(True))
        assert_that(target.connections, Equals(2))


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='cut')
async def test_a_connection_closed_while_idle_is_not_used(scripted, pool_for):
    async with scripted(EMPTY) as target:
        pool = pool_for(target.address)
        await pool.run(job())
        pooled = next(iter(pool.idle.values()))
        pooled.connection.transport.abort()
        await asyncio.sleep(0)
        assert_that((await pool.run(job())).is_ok(), Is(True))
        assert_that(target.connections, Equals(2))


@pytest.mark.anyio
async def test_connections_that_none_needs_any_more_are_closed(
    scripted, pool_for
):
    async with scripted(EMPTY, EMPTY, EMPTY) as target:
        pool = pool_for(target.address)
        await asyncio.gather(pool.run(job('a')), pool.run(job('b')))
        older = next(iter(pool.idle.values()))
        older.policy_state.last_answer = boot_time() - IDLE_LIMIT_S - 0.01
        pool.next_sweep = boot_time()
        assert_that((await pool.run(job('c'))).is_ok(), Is(True))
        assert_that(older.connection.transport.is_closing(), Is(True))
        assert_that(len(pool.idle), Equals(1))


@pytest.mark.anyio
@pytest.mark.cell(step='answer', fault='pause')
async def test_a_half_read_answer_reaches_no_other_caller(scripted, pool_for):
    half = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'
    whole = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine'
    async with scripted(half, whole) as target:
        pool = pool_for(target.address)
        late = await pool.run(job(seconds=0.05))
        assert_that(late.error.kind, Is(ErrorKind.DEADLINE_AFTER_START))
        outcome = await pool.run(job())
    assert_that(outcome.ok.body, Equals(b'mine'))
    assert_that(target.connections, Equals(2))


@pytest.mark.anyio
async def test_an_answer_with_more_after_it_ends_the_connection(
    scripted, pool_for
):
    doubled = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1'
    async with scripted(doubled * 2, EMPTY) as target:
        pool = pool_for(target.address)
        assert_that((await pool.run(job())).ok.body, Equals(b'1'))
        assert_that((await pool.run(job())).ok.body, Equals(b''))
    assert_that(target.connections, Equals(2))


@pytest.mark.anyio
@pytest.mark.parametrize(
    'field',
    [
        {'path': '/catalogue/a\r\nx-evil: 1'},
        {'path': '/catalogue/\x00'},
        {'method': 'GET\r\n'},
        {'key': 'a\r\nx: 1'},
        {'key': '\u0416'},
        {'ticket': 'a\nb'},
        {'request_id': 'a\rb'},
        {'headers': (('x', 'a\r\nb'),)},
        {'headers': (('x y', 'a'),)},
    ],
)
async def test_nothing_is_injected_into_a_head(scripted, pool_for, field):
    async with scripted(EMPTY) as target:
        outcome = await pool_for(target.address).run(replace(job(), **field))
        assert_that(outcome.error.kind, Is(ErrorKind.BAD_REQUEST))
        assert_that(target.received, Equals([]))


@pytest.mark.anyio
@pytest.mark.cell(step='answer', fault='target-freeze')
async def test_thousands_of_mixed_answers_reach_their_callers(
    daemon, target, target_app
):
    """Some answers are late, and some callers disconnect before theirs."""
    async with running('vm-2') as forwarder:
        forwarder.configure(target, slots=20)
        daemon.configure(target, slots=20)
        forwarder.add_peer(daemon)
        forwarder.view.dispatchers['c1'] = daemon.view.name
        entry_addresses = (daemon.callers, forwarder.callers)
        foreign = []

        async def one(number):
            echo = f'e{number}'
            deadline = 3 if number % 7 == 0 else 20_000
            answer = await ask(
                entry_addresses[number % 2],
                'GET',
                f'/catalogue/read?echo={echo}&size=200',
                x_work_ms=number % 5,
                laburnumyard_deadline_ms=deadline,
            )
            if answer.status == 200:
                body = answer.body.decode()
                is_collected_here = body.startswith(f'echo={echo} ')
                if not is_collected_here or not body.endswith(f'end={echo}'):
                    foreign.append(body)
            return answer.status

        async def run(numbers):
            return [await one(number) for number in numbers]

        parts = [range(first, 3000, 40) for first in range(40)]
        statuses = chain(*await asyncio.gather(*map(run, parts)))
    assert_that(foreign, Equals([]))
    counts = Counter(statuses)
    assert_that(counts[200] > 2000, Is(True))
    assert_that(counts[500], Equals(0))
