import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core import membership
from laburnumyard.schema._generated import messages

NAMES = ('', 'self', 'a', 'b', 'c')
SELDOM = (True, False, False)
NUMBERS = (0, 1, 2, 2**31, 2**64 - 1)
SELF = membership.Identity('self', 'x', 'r', '10.0.0.1:1', 5)


def new_table(**bounds):
    settings = membership.MembershipSettings(**bounds)
    return membership.MemberTable(SELF, settings, random.Random(1).random)


def record_for(daemon, incarnation=1):
    return messages.Member(
        daemon, incarnation, 'x', 'r', '10.0.0.2:1', False, False, 0
    )


def random_record(draw):
    return messages.Member(
        draw.choice(NAMES),
        draw.choice(NUMBERS),
        draw.choice(NAMES),
        draw.choice(NAMES),
        draw.choice(NAMES),
        draw.choice(SELDOM),
        draw.choice(SELDOM),
        draw.choice(NUMBERS),
    )


def random_event(draw):
    record = tuple(random_record(draw) for _ in range(draw.randrange(4)))
    name = draw.choice(NAMES)
    heartbeat = messages.Heartbeat(
        name,
        draw.choice(NUMBERS),
        draw.choice(NUMBERS),
        draw.choice(SELDOM),
        draw.choice(NUMBERS),
        draw.choice(NUMBERS),
        draw.choice(NUMBERS),
    )
    digests = messages.MemberDigests(
        draw.randbytes(draw.choice([0, 7, 512])), reply=True
    )
    return draw.choice(
        [
            membership.GossipReceived(record),
            membership.MembersReceived(record),
            membership.HeartbeatReceived(heartbeat),
            membership.DigestsReceived(name, digests),
            membership.ProbeAnswered(name, draw.choice(NUMBERS)),
            membership.ProbeFailed(name),
            membership.LinkLost(name),
            membership.Tick(),
        ]
    )


@pytest.mark.parametrize('seed', range(5))
def test_no_message_breaks_the_table(seed):
    draw = random.Random(seed)
    table = new_table()
    for step in range(2000):
        table.handle(random_event(draw), step / 20)
        assert_that('self' in table.state.members, Is(False))
        incarnations = [one.incarnation for one in table.live()]
        assert_that(all(incarnations), Is(True))


def test_incarnations_never_fall():
    table = new_table()
    for incarnation in (3, 2, 4, 1):
        table.handle(
            membership.GossipReceived((record_for('a', incarnation),)), 0
        )
    assert_that(table.state.members['a'].identity.incarnation, Equals(4))


def test_strangers_are_bounded():
    table = new_table(members_limit=9)
    strangers = tuple(record_for(f'stranger-{number}') for number in range(50))
    table.handle(membership.GossipReceived(strangers), 0)
    assert_that(len(table.state.members), Equals(9))


def test_digests_of_the_wrong_size_are_ignored():
    table = new_table()
    digests = messages.MemberDigests(b'short', reply=True)
    effects = table.handle(membership.DigestsReceived('a', digests), 0)
    assert_that(effects, Equals([]))
