from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.control.fleet import SILENT_S
from laburnumyard.core.membership import (
    GossipHeard,
    Identity,
    Leave,
    MemberState,
    Scope,
    ScopesHeld,
)
from laburnumyard.core.membership import _ticking as ticking
from laburnumyard.core.membership._believing import own_news
from tests.core.membership.conftest import (
    believers,
    check_all_live,
    others,
)

DEPUTY_NOTICES_S = 0.75
ALL_NOTICE_S = 4
LEAVE_KNOWN_S = 3
HEALED_S = 15


def first_of(fleet):
    return min(node.identity.daemon for node in fleet.running())


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


@pytest.mark.cell(step='leave', fault='kill')
def test_leaving_daemon_is_known_to_all_though_it_dies_at_once(letter):
    leaver = first_of(letter)
    letter.nodes[leaver].table_take(Leave())
    letter.clock.run(0.3)
    letter.kill(leaver, with_vm=True)
    letter.clock.run(LEAVE_KNOWN_S - 0.3)
    assert_that(believers(letter, leaver), Equals(set()))


@pytest.mark.cell(step='leave', fault='cut')
@pytest.mark.cell(step='leave', fault='one-way-cut')
@pytest.mark.parametrize('is_one_way', [False, True])
def test_leave_is_known_though_some_members_are_cut_off(medium, is_one_way):
    leaver = first_of(medium)
    cut_off = {'centre-0-1', 'centre-0-2'}

    def cut(source, destination):
        if source.daemon == leaver:
            return destination.data_centre in cut_off
        if is_one_way or destination.daemon != leaver:
            return False
        return source.data_centre in cut_off

    medium.network.cuts.append(cut)
    medium.nodes[leaver].table_take(Leave())
    medium.clock.run(LEAVE_KNOWN_S)
    assert_that(believers(medium, leaver), Equals(set()))


@pytest.mark.cell(step='leave', fault='pause')
def test_daemon_that_slept_through_a_leave_learns_of_it(medium):
    leaver = first_of(medium)
    sleeper = max(others(medium, leaver))
    medium.pause(sleeper, 5)
    medium.nodes[leaver].table_take(Leave())
    medium.clock.run(1)
    medium.kill(leaver, with_vm=True)
    medium.clock.run(4 + LEAVE_KNOWN_S)
    assert_that(believers(medium, leaver), Equals(set()))


@pytest.mark.cell(step='join', fault='kill')
def test_restarted_daemon_is_taken_back_at_once(medium):
    daemon = first_of(medium)
    medium.restart(daemon)
    medium.clock.run(2)
    check_all_live(medium)
    incarnations = {
        one.incarnation
        for node in medium.running()
        for one in node.table.live()
        if one.daemon == daemon
    }
    assert_that(incarnations, Equals({2}))


@pytest.mark.parametrize('fleet_name', ['today', 'wide'])
def test_all_daemons_start_at_once(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    for daemon in tuple(fleet.nodes):
        fleet.restart(daemon)
    fleet.clock.run(HEALED_S)
    check_all_live(fleet)


@pytest.mark.cell(step='join', fault='one-way-cut')
@pytest.mark.cell(step='join', fault='cut')
@pytest.mark.parametrize('is_one_way', [False, True])
def test_newcomer_that_is_cut_off_joins_once_the_cut_ends(medium, is_one_way):
    daemon = first_of(medium)

    def cut(source, destination):
        is_back = destination.daemon == daemon and not is_one_way
        return source.daemon == daemon or is_back

    medium.network.cuts.append(cut)
    medium.restart(daemon)
    medium.clock.run(20)
    assert_that(believers(medium, daemon), Equals(set()))
    medium.network.cuts.clear()
    medium.clock.run(HEALED_S)
    check_all_live(medium)


@pytest.mark.cell(step='join', fault='pause')
def test_newcomer_that_is_paused_while_it_joins_is_live_in_the_end(medium):
    daemon = first_of(medium)
    medium.restart(daemon)
    medium.clock.run(0.05)
    medium.pause(daemon, 8)
    medium.clock.run(8 + HEALED_S)
    check_all_live(medium)


@pytest.mark.cell(step='join', fault='silent-connection')
def test_newcomer_whose_connections_go_silent_joins_in_the_end(medium):
    daemon = first_of(medium)
    medium.restart(daemon)
    medium.lose_track(daemon)
    medium.clock.run(SILENT_S + HEALED_S)
    check_all_live(medium)


@pytest.mark.cell(step='leave', fault='silent-connection')
def test_leaving_daemon_whose_connections_go_silent_is_soon_without_roles(
    medium,
):
    leaver = first_of(medium)
    medium.lose_track(leaver)
    medium.nodes[leaver].table_take(Leave())
    medium.clock.run(ALL_NOTICE_S)
    assert_that(believers(medium, leaver), Equals(set()))
    medium.clock.run(SILENT_S)
    assert_that(believers(medium, leaver), Equals(set()))


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


def test_lost_messages_leave_no_wrong_belief_behind(medium):
    medium.network.loss = 0.3
    medium.clock.run(30)
    medium.network.loss = 0
    medium.clock.run(HEALED_S)
    check_all_live(medium)


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


def test_lagging_vm_list_decides_nothing(medium):
    lost, unlisted = sorted(medium.nodes)[:2]
    medium.kill(lost, with_vm=True)
    medium.platform.listed.pop(unlisted)
    medium.clock.run(100)
    check_all_live(medium)


def test_member_off_the_list_is_forgotten_in_the_end(today):
    lost = first_of(today)
    today.kill(lost, with_vm=True)
    today.platform.listed.pop(lost)
    today.clock.run(700)
    known = [node.table.state.members for node in today.running()]
    assert_that(any(lost in members for members in known), Is(False))


def test_unknown_vm_joins_before_the_list_names_it(medium):
    fresh = Identity('fresh', 'centre-0-0', 'region-0', '10.9.9.9:7000', 7)
    medium.start(fresh)
    medium.clock.run(5)
    check_all_live(medium)


def test_members_live_on_without_the_vm_list(medium):
    medium.platform.is_reachable = False
    medium.kill(first_of(medium), with_vm=True)
    medium.clock.run(30)
    check_all_live(medium)
