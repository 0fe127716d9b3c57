from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.membership import (
    GossipReceived,
    ManagedScopesChanged,
    MemberState,
    Scope,
)
from laburnumyard.core.membership import _periodic_tasks as periodic_tasks
from laburnumyard.core.membership._member_state import own_record
from tests.core.membership.conftest import (
    ALL_DETECT_S,
    CONVERGED_S,
    believers,
    check_all_live,
    first_of,
    others,
)

DEPUTY_DETECTS_S = 0.75


def hold_scopes(fleet, scope):
    """Make the lease manager hold its scope; return it and its deputy."""
    table = fleet.nodes[first_of(fleet)].table
    manager, deputy = table.manager_of(scope), table.deputy_of(scope)
    fleet.nodes[manager].table_take(ManagedScopesChanged((scope,)))
    fleet.clock.run(1)
    return manager, deputy


@pytest.mark.parametrize(
    'fleet_name', ['small_fleet', 'medium_fleet', 'wide_fleet']
)
def test_deputy_notices_the_loss_of_its_manager(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    scope = Scope('orders', 'centre-0-1')
    manager, deputy = hold_scopes(fleet, scope)
    fleet.kill(manager, with_vm=True)
    fleet.clock.run(DEPUTY_DETECTS_S)
    assert_that(fleet.nodes[deputy].table.manager_of(scope), Equals(deputy))


@pytest.mark.parametrize(
    'fleet_name', ['small_fleet', 'medium_fleet', 'large_fleet']
)
def test_all_notice_the_loss_of_a_vm(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    fleet.kill(first_of(fleet), with_vm=True)
    fleet.clock.run(ALL_DETECT_S)
    check_all_live(fleet)


def test_all_notice_the_loss_of_a_data_centre(wide_fleet):
    for node in wide_fleet.running():
        if node.identity.data_centre == 'centre-1-1':
            wide_fleet.kill(node.identity.daemon, with_vm=True)
    wide_fleet.clock.run(CONVERGED_S)
    check_all_live(wide_fleet)


def test_regions_that_lost_each_other_find_each_other_again(wide_fleet):
    def cut(source, destination):
        return 'region-0' in {source.region, destination.region} and (
            source.region != destination.region
        )

    wide_fleet.network.cuts.append(cut)
    wide_fleet.clock.run(40)
    for node in wide_fleet.running():
        is_apart = node.identity.region == 'region-0'
        believed = {one.region for one in node.table.live()}
        assert_that('region-0' in believed, Is(is_apart))
        assert_that('region-1' in believed, Is(not is_apart))
    wide_fleet.network.cuts.clear()
    wide_fleet.clock.run(CONVERGED_S)
    check_all_live(wide_fleet)


def test_member_that_two_cannot_reach_stays_live_for_the_others(medium_fleet):
    daemon = first_of(medium_fleet)
    blind = set(sorted(others(medium_fleet, daemon))[:2])

    def cut(source, destination):
        return source.daemon == daemon and destination.daemon in blind

    medium_fleet.network.cuts.append(cut)
    all_sighted = others(medium_fleet, daemon) - blind
    doubters = set()
    for _ in range(60):
        medium_fleet.clock.run(1)
        before = doubters
        doubters = all_sighted - believers(medium_fleet, daemon)
        assert_that(doubters & before, Equals(set()))


def check_resumed_daemon(fleet, paused):
    """Check that a resumed daemon is stale and suspects no member."""
    table = fleet.nodes[paused].table
    assert_that(table.state.is_stale, Is(True))
    wrongly_suspected = {
        member.identity.daemon
        for member in table.state.members.values()
        if member.state is not MemberState.LIVE
    }
    assert_that(wrongly_suspected, Equals(set()))


def pause_first_daemon(fleet, seconds):
    """Pause a daemon, and return it just after its first tick."""
    paused = first_of(fleet)
    fleet.pause(paused, seconds)
    fleet.clock.run(seconds + 0.0001)
    return paused


def test_woken_daemon_knows_that_its_view_is_old(medium_fleet):
    paused = pause_first_daemon(medium_fleet, 8)
    check_resumed_daemon(medium_fleet, paused)
    assert_that(believers(medium_fleet, paused), Equals(set()))
    medium_fleet.clock.run(5)
    assert_that(medium_fleet.nodes[paused].table.state.is_stale, Is(False))
    check_all_live(medium_fleet)


def test_check_catches_a_daemon_that_does_not_notice_its_sleep(
    medium_fleet, monkeypatch
):
    monkeypatch.setattr(periodic_tasks, '_detect_pause', lambda state: None)
    paused = pause_first_daemon(medium_fleet, 8)
    with pytest.raises(AssertionError):
        check_resumed_daemon(medium_fleet, paused)


def test_process_that_a_newer_incarnation_replaced_stays_stale(medium_fleet):
    daemon = first_of(medium_fleet)
    old = medium_fleet.nodes[daemon]
    medium_fleet.pause(daemon, 5)
    medium_fleet.clock.run(1)
    medium_fleet.restart(daemon)
    old.is_running = True
    medium_fleet.clock.run(20)
    assert_that(old.table.state.is_stale, Is(True))
    assert_that(old.table.is_isolated(medium_fleet.clock.now), Is(True))
    check_all_live(medium_fleet)


def test_news_of_a_newer_incarnation_ends_every_role(medium_fleet):
    old = medium_fleet.nodes[first_of(medium_fleet)]
    newer = replace(own_record(old.table.state), incarnation=2)
    old.table_take(GossipReceived((newer,)))
    assert_that(old.table.state.is_superseded, Is(True))
    mine = {one.daemon for one in old.table.live()}
    assert_that(old.identity.daemon in mine, Is(False))


def test_daemon_that_hears_nobody_counts_itself_as_cut_off(medium_fleet):
    daemon = first_of(medium_fleet)
    medium_fleet.network.cuts.append(lambda _, there: there.daemon == daemon)
    medium_fleet.clock.run(10)
    table = medium_fleet.nodes[daemon].table
    assert_that(table.is_isolated(medium_fleet.clock.now), Is(True))
