import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import FencingToken, Seconds, ShardKey, TargetId
from laburnumyard.core.shards import Piece, Release, Reply
from laburnumyard.core.target_directory import TargetLife
from laburnumyard.platform._order_transport import PlatformOrders
from tests.gateway.conftest import FakeTarget, answer

pytestmark = pytest.mark.anyio
LIFE = TargetLife(TargetId('i-1'), 1)
# No process listens on port 1 of this machine.
REFUSED_ADDRESS = '127.0.0.1:1'


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
