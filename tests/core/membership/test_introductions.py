from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.core import membership

OLD, NEW = 10, 20


def identity_of(daemon, incarnation):
    address = f'127.0.0.1:70{daemon[-1]}'
    return membership.Identity(daemon, 'lima-a', 'lima', address, incarnation)


def start_table(identity):
    return membership.MemberTable(
        identity, membership.MembershipSettings(), lambda: 0.5
    )


def test_restarted_member_is_told_who_found_it():
    finder = start_table(identity_of('vm-1', OLD))
    known = identity_of('vm-3', OLD)
    finder.handle(membership.Tick(), 0)
    finder.handle(
        membership.VmListRead((membership.ListedVm(known, is_leaving=False),)),
        0,
    )
    finder.handle(membership.ProbeAnswered('vm-3', OLD), 1)
    effects = finder.handle(membership.ProbeAnswered('vm-3', NEW), 2)
    told = [
        effect.message.members
        for effect in effects
        if isinstance(effect, membership.Send) and effect.daemon == 'vm-3'
    ]
    assert_that([news[0].daemon for news in told], Contains('vm-1'))

    # The restarted daemon has no list of VMs, and now knows its finder.
    restarted = start_table(identity_of('vm-3', NEW))
    for news in told:
        restarted.handle(membership.MembersHeard(news), 3)
    live = {member.daemon for member in restarted.live()}
    assert_that(live, Equals({'vm-1', 'vm-3'}))
