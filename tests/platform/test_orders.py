import asyncio
from contextlib import asynccontextmanager, suppress

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.core.ids import FencingToken, Seconds, ShardKey, TargetId
from laburnumyard.core.shards import Grant, Piece, RangeRelease, Release, Reply
from laburnumyard.core.target_directory import TargetLife
from laburnumyard.platform._order_transport import PlatformOrders
from tests.gateway.conftest import FakeTarget, answer

pytestmark = pytest.mark.anyio
LIFE = TargetLife(TargetId('i-1'), 1)
# No process listens on port 1 of this machine.
REFUSED_ADDRESS = '127.0.0.1:1'


class RepeatingTarget:
    """Repeats its reply on a connection when the next order arrives there."""

    def __init__(self, *, repeats=True):
        self.repeats = repeats
        self.orders = []
        self.connections = 0
        self.finish = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        replied = b''
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().split(b'content-length: ')[1]
                await reader.readexactly(int(length.split(b'\r')[0]))
                self.orders.append(head.split(b' ')[1])
                if self.repeats:
                    writer.write(replied)
                if self.orders[-1] == b'/-/release':
                    await self.finish.wait()
                replied = self.reply()
                writer.write(replied)
        writer.close()

    def reply(self):
        token = ''
        if self.orders[-1] == b'/-/release':
            token = f'laburnumyard-handover: {len(self.orders)}\r\n'
        return answer(200, '', token)

    @asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            yield f'{host}:{port}'


@pytest.fixture
def grant(release):
    return Grant(
        release.piece,
        LIFE,
        release.first,
        release.last,
        FencingToken(7),
        Seconds(4),
        '',
        Seconds(0),
    )


@pytest.fixture
def release():
    first, last = ShardKey(0), ShardKey(9)
    piece = Piece(first, last, LIFE, FencingToken(7))
    return Release(piece, LIFE, first, last, FencingToken(7))


async def test_a_refused_connection_does_not_prove_a_target_gone(release):
    """A network fault may refuse connections while the target serves others."""
    reply = await PlatformOrders().send(release, REFUSED_ADDRESS, Seconds(1))
    assert_that(reply.reply, Equals(Reply.UNKNOWN))


# OWNER, and keys without an owner: who is at an address is told by its own
# reply, not by the entries of others.
@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (200, 'laburnumyard-instance-id: i-1\r\n', Reply.DONE),
        (200, 'laburnumyard-instance-id: i-2\r\n', Reply.GONE),
        (421, '', Reply.GONE),
        (404, '', Reply.GONE),
        (400, '', Reply.REJECTED),
        (400, 'laburnumyard-not-executed: 1\r\n', Reply.GONE),
        (503, 'laburnumyard-not-executed: 1\r\n', Reply.UNKNOWN),
    ],
)
async def test_the_reply_tells_who_is_at_the_address(
    release, status, headers, expected
):
    async with FakeTarget(answer(status, '', headers)).running() as target:
        reply = await PlatformOrders().send(release, target.address, Seconds(5))
    assert_that(reply.reply, Equals(expected))


# An order to a target that sent status 000 waited for its whole timeout.
@pytest.mark.parametrize(
    'status', ['000', '099', '101', '20', '600', '999', '1000']
)
async def test_a_reply_with_an_invalid_status_tells_nothing(release, status):
    reply = answer(status, '', 'laburnumyard-handover: 1\r\n')
    orders = PlatformOrders()
    async with FakeTarget(reply, reply).running() as target:
        with anyio.fail_after(1):
            replied = await orders.send(release, target.address, Seconds(5))
        endpoint = orders.endpoints[target.address]
        assert_that(endpoint.idle, Equals([]))
    assert_that(replied.reply, Equals(Reply.UNKNOWN))
    # The keys are not free, and the token may come with the due reply.
    assert_that(list(orders.handovers), Equals([]))


# OWNER: a repeated reply to a grant was taken for that to a release, and keys
# were given to another target while requests on them still ran.
@pytest.mark.parametrize('is_range', [False, True])
@pytest.mark.parametrize('is_behind_release', [False, True])
async def test_a_repeated_reply_confirms_no_release(
    grant, release, is_range, is_behind_release
):
    if is_range:
        release = RangeRelease(LIFE, release.first, release.last, release.token)
    target = RepeatingTarget()
    orders = PlatformOrders()
    async with target.running() as address:
        if is_behind_release:
            target.finish.set()
            await orders.send(release, address, Seconds(5))
            target.finish.clear()
        else:
            await orders.send(grant, address, Seconds(5))
        replies = []

        async def send_release():
            replies.append(await orders.send(release, address, Seconds(5)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_release)
            await anyio.sleep(0.1)
            assert_that(target.orders[1:], Contains(b'/-/release'))
            assert_that(replies, Equals([]))
            target.finish.set()
        assert_that(replies[0].reply, Equals(Reply.DONE))
        for endpoint in orders.endpoints.values():
            endpoint.close()


# Keys without an owner: a target with a long queue resets new connections, so
# releases that always opened one failed there.
async def test_a_release_uses_a_kept_connection(grant, release):
    target = RepeatingTarget(repeats=False)
    target.finish.set()
    orders = PlatformOrders()
    async with target.running() as address:
        for order in (grant, release, release, grant):
            reply = await orders.send(order, address, Seconds(5))
            assert_that(reply.reply, Equals(Reply.DONE))
        assert_that(target.connections, Equals(1))
        for endpoint in orders.endpoints.values():
            endpoint.close()
