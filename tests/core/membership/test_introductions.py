import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core import membership
from laburnumyard.schema._generated import messages

OLD, NEW = 10, 20
JOIN_TIMEOUT_S = membership.MembershipSettings().join_timeout_s


def identity_of(daemon, incarnation):
    address = f'127.0.0.1:70{daemon[-1]}'
    return membership.Identity(daemon, 'lima-a', 'lima', address, incarnation)


def start_table(identity):
    table = membership.MemberTable(
        identity, membership.MembershipSettings(), lambda: 0.5
    )
    table.handle(membership.Tick(), 0)
    return table


def hello_from(identity):
    return membership.HelloReceived(
        messages.Member(
            daemon=identity.daemon,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            region=identity.region,
            peer_address=identity.address,
            leaving=False,
            suspected=False,
            refutation=0,
        )
    )


def exchange(first, second, now):
    """Tick the first table and deliver all messages between the two."""
    queue = [(second, first, first.handle(membership.Tick(), now))]
    while queue:
        target, sender, effects = queue.pop()
        for effect in effects:
            message = getattr(effect, 'message', None)
            if (
                message is None
                or effect.daemon != target.state.local_identity.daemon
            ):
                continue
            answers = target.handle(event_of(message, sender), now)
            queue.append((sender, target, answers))


def event_of(message, sender):
    if hasattr(message, 'buckets'):
        daemon = sender.state.local_identity.daemon
        return membership.DigestsReceived(daemon, message)
    return membership.MembersReceived(message.members)


@pytest.fixture
def connected():
    """Start a daemon that is connected to a live third one."""
    table = start_table(identity_of('vm-1', OLD))
    table.handle(hello_from(identity_of('vm-2', OLD)), 0)
    return table


@pytest.fixture
def restarted():
    """Start a daemon that has no VM list."""
    return start_table(identity_of('vm-3', NEW))


def test_restarted_member_learns_of_all_from_the_first_hello(
    connected, restarted
):
    restarted.handle(hello_from(connected.state.local_identity), 1)
    assert_that(restarted.is_settled(1), Is(False))
    exchange(restarted, connected, 1)
    live = {member.daemon for member in restarted.live()}
    assert_that(live, Equals({'vm-1', 'vm-2', 'vm-3'}))
    assert_that(restarted.is_settled(1), Is(True))


def test_two_that_know_each_other_alone_are_settled(restarted):
    other = start_table(identity_of('vm-1', OLD))
    restarted.handle(hello_from(other.state.local_identity), 1)
    other.handle(hello_from(restarted.state.local_identity), 1)
    exchange(restarted, other, 1)
    assert_that(restarted.is_settled(1), Is(True))


def test_nobody_answers_and_the_wait_ends(restarted):
    restarted.handle(hello_from(identity_of('vm-1', OLD)), 1)
    restarted.handle(membership.Tick(), JOIN_TIMEOUT_S)
    assert_that(restarted.is_settled(JOIN_TIMEOUT_S - 0.1), Is(False))
    assert_that(restarted.is_settled(JOIN_TIMEOUT_S), Is(True))
