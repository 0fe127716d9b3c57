from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.membership import (
    GossipHeard,
    MemberState,
    Scope,
    ScopesHeld,
)
from laburnumyard.core.membership import _ticking as ticking
from laburnumyard.core.membership._believing import own_news
from tests.core.membership.conftest import (
    ALL_NOTICE_S,
    HEALED_S,
    believers,
    check_all_live,
    first_of,
    others,
)

DEPUTY_NOTICES_S = 0.75


def hold_scopes(fleet, scope):
    """Have the manager of a scope hold it, and return it and its deputy."""
    table = fleet.nodes[first_of(fleet)].table
    manager, deputy = table.manager_of(scope), table.deputy_of(scope)
    fleet.nodes[manager].table_take(ScopesHeld((scope,)))
    fleet.clock.run(1)
    return manager, deputy


@pytest.mark.parametrize('fleet_name', ['today', 'medium', 'wide'])
def test_deputy_notices_the_loss_of_its_manager(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    scope = Scope('orders', 'centre-0-1')
    manager, deputy = hold_scopes(fleet, scope)
    fleet.kill(manager, with_vm=True)
    fleet.clock.run(DEPUTY_NOTICES_S)
    assert_that(fleet.nodes[deputy].table.manager_of(scope), Equals(deputy))


@pytest.mark.parametrize('fleet_name', ['today', 'medium', 'letter'])
def test_all_notice_the_loss_of_a_vm(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    fleet.kill(first_of(fleet), with_vm=True)
    fleet.clock.run(ALL_NOTICE_S)
    check_all_live(fleet)


def test_all_notice_the_loss_of_a_data_centre(wide):
    for node in wide.running():
        if node.identity.data_centre == 'centre-1-1':
            wide.kill(node.identity.daemon, with_vm=True)
    wide.clock.run(HEALED_S)
    check_all_live(wide)


def test_regions_that_lost_each_other_find_each_other_again(wide):
    def cut(source, destination):
        return 'region-0' in {source.region, destination.region} and (
            source.region != destination.region
        )

    wide.network.cuts.append(cut)
    wide.clock.run(40)
    for node in wide.running():
        is_apart = node.identity.region == 'region-0'
        believed = {one.region for one in node.table.live()}
        assert_that('region-0' in believed, Is(is_apart))
        assert_that('region-1' in believed, Is(not is_apart))
    wide.network.cuts.clear()
    wide.clock.run(HEALED_S)
    check_all_live(wide)


def test_member_that_two_cannot_reach_stays_live_for_the_others(medium):
    daemon = first_of(medium)
    blind = set(sorted(others(medium, daemon))[:2])

    def cut(source, destination):
        return source.daemon == daemon and destination.daemon in blind

    medium.network.cuts.append(cut)
    all_sighted = others(medium, daemon) - blind
    doubters = set()
    for _ in range(60):
        medium.clock.run(1)
        before = doubters
        doubters = all_sighted - believers(medium, daemon)
        assert_that(doubters & before, Equals(set()))


def check_woken_daemon(fleet, sleeper):
    """Check that a woken daemon knows it, and blames nobody for its sleep."""
    table = fleet.nodes[sleeper].table
    assert_that(table.state.is_stale, Is(True))
    blamed = {
        member.identity.daemon
        for member in table.state.members.values()
        if member.state is not MemberState.LIVE
    }
    assert_that(blamed, Equals(set()))


def sleep_through(fleet, seconds):
    """Pause a daemon, and return it just after its first tick."""
    sleeper = first_of(fleet)
    fleet.pause(sleeper, seconds)
    fleet.clock.run(seconds + 0.0001)
    return sleeper


def test_woken_daemon_knows_that_its_view_is_old(medium):
    sleeper = sleep_through(medium, 8)
    check_woken_daemon(medium, sleeper)
    assert_that(believers(medium, sleeper), Equals(set()))
    medium.clock.run(5)
    assert_that(medium.nodes[sleeper].table.state.is_stale, Is(False))
    check_all_live(medium)


def test_check_catches_a_daemon_that_does_not_notice_its_sleep(
    medium, monkeypatch
):
    monkeypatch.setattr(ticking, '_notice_pause', lambda state: None)
    sleeper = sleep_through(medium, 8)
    with pytest.raises(AssertionError):
        check_woken_daemon(medium, sleeper)


def test_process_that_a_newer_incarnation_replaced_stays_stale(medium):
    daemon = first_of(medium)
    old = medium.nodes[daemon]
    medium.pause(daemon, 5)
    medium.clock.run(1)
    medium.restart(daemon)
    old.is_running = True
    medium.clock.run(20)
    assert_that(old.table.state.is_stale, Is(True))
    assert_that(old.table.is_isolated(medium.clock.now), Is(True))
    check_all_live(medium)


def test_news_of_a_newer_incarnation_ends_every_role(medium):
    old = medium.nodes[first_of(medium)]
    newer = replace(own_news(old.table.state), incarnation=2)
    old.table_take(GossipHeard((newer,)))
    assert_that(old.table.state.is_superseded, Is(True))
    mine = {one.daemon for one in old.table.live()}
    assert_that(old.identity.daemon in mine, Is(False))


def test_daemon_that_hears_nobody_counts_itself_as_cut_off(medium):
    daemon = first_of(medium)
    medium.network.cuts.append(lambda _, there: there.daemon == daemon)
    medium.clock.run(10)
    table = medium.nodes[daemon].table
    assert_that(table.is_isolated(medium.clock.now), Is(True))
