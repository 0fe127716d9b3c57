import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.control.fleet import SILENT_S
from laburnumyard.core.membership import (
    Identity,
    Leave,
)
from tests.core.membership.conftest import (
    ALL_DETECT_S,
    CONVERGED_S,
    believers,
    check_all_live,
    first_of,
    others,
)

LEAVE_KNOWN_S = 3


@pytest.mark.cell(step='leave', fault='kill')
def test_leaving_daemon_is_known_to_all_though_it_dies_at_once(large_fleet):
    leaver = first_of(large_fleet)
    large_fleet.nodes[leaver].table_take(Leave())
    large_fleet.clock.run(0.3)
    large_fleet.kill(leaver, with_vm=True)
    large_fleet.clock.run(LEAVE_KNOWN_S - 0.3)
    assert_that(believers(large_fleet, leaver), Equals(set()))


@pytest.mark.cell(step='leave', fault='cut')
@pytest.mark.cell(step='leave', fault='one-way-cut')
@pytest.mark.parametrize('is_one_way', [False, True])
def test_leave_is_known_though_some_members_are_cut_off(
    medium_fleet, is_one_way
):
    leaver = first_of(medium_fleet)
    cut_off = {'centre-0-1', 'centre-0-2'}

    def cut(source, destination):
        if source.daemon == leaver:
            return destination.data_centre in cut_off
        if is_one_way or destination.daemon != leaver:
            return False
        return source.data_centre in cut_off

    medium_fleet.network.cuts.append(cut)
    medium_fleet.nodes[leaver].table_take(Leave())
    medium_fleet.clock.run(LEAVE_KNOWN_S)
    assert_that(believers(medium_fleet, leaver), Equals(set()))


@pytest.mark.cell(step='leave', fault='pause')
def test_daemon_that_slept_through_a_leave_learns_of_it(medium_fleet):
    leaver = first_of(medium_fleet)
    paused = max(others(medium_fleet, leaver))
    medium_fleet.pause(paused, 5)
    medium_fleet.nodes[leaver].table_take(Leave())
    medium_fleet.clock.run(1)
    medium_fleet.kill(leaver, with_vm=True)
    medium_fleet.clock.run(4 + LEAVE_KNOWN_S)
    assert_that(believers(medium_fleet, leaver), Equals(set()))


@pytest.mark.cell(step='join', fault='kill')
def test_restarted_daemon_is_taken_back_at_once(medium_fleet):
    daemon = first_of(medium_fleet)
    medium_fleet.restart(daemon)
    medium_fleet.clock.run(2)
    check_all_live(medium_fleet)
    incarnations = {
        one.incarnation
        for node in medium_fleet.running()
        for one in node.table.live()
        if one.daemon == daemon
    }
    assert_that(incarnations, Equals({2}))


@pytest.mark.parametrize('fleet_name', ['small_fleet', 'wide_fleet'])
def test_all_daemons_start_at_once(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    for daemon in tuple(fleet.nodes):
        fleet.restart(daemon)
    fleet.clock.run(CONVERGED_S)
    check_all_live(fleet)


@pytest.mark.cell(step='join', fault='one-way-cut')
@pytest.mark.cell(step='join', fault='cut')
@pytest.mark.parametrize('is_one_way', [False, True])
def test_newcomer_that_is_cut_off_joins_once_the_cut_ends(
    medium_fleet, is_one_way
):
    daemon = first_of(medium_fleet)

    def cut(source, destination):
        is_back = destination.daemon == daemon and not is_one_way
        return source.daemon == daemon or is_back

    medium_fleet.network.cuts.append(cut)
    medium_fleet.restart(daemon)
    medium_fleet.clock.run(20)
    assert_that(believers(medium_fleet, daemon), Equals(set()))
    medium_fleet.network.cuts.clear()
    medium_fleet.clock.run(CONVERGED_S)
    check_all_live(medium_fleet)


@pytest.mark.cell(step='join', fault='pause')
def test_newcomer_that_is_paused_while_it_joins_is_live_in_the_end(
    medium_fleet,
):
    daemon = first_of(medium_fleet)
    medium_fleet.restart(daemon)
    medium_fleet.clock.run(0.05)
    medium_fleet.pause(daemon, 8)
    medium_fleet.clock.run(8 + CONVERGED_S)
    check_all_live(medium_fleet)


@pytest.mark.cell(step='join', fault='silent-connection')
def test_newcomer_whose_connections_go_silent_joins_in_the_end(medium_fleet):
    daemon = first_of(medium_fleet)
    medium_fleet.restart(daemon)
    medium_fleet.lose_track(daemon)
    medium_fleet.clock.run(SILENT_S + CONVERGED_S)
    check_all_live(medium_fleet)


@pytest.mark.cell(step='leave', fault='silent-connection')
def test_leaving_daemon_whose_connections_go_silent_is_soon_without_roles(
    medium_fleet,
):
    leaver = first_of(medium_fleet)
    medium_fleet.lose_track(leaver)
    medium_fleet.nodes[leaver].table_take(Leave())
    medium_fleet.clock.run(ALL_DETECT_S)
    assert_that(believers(medium_fleet, leaver), Equals(set()))
    medium_fleet.clock.run(SILENT_S)
    assert_that(believers(medium_fleet, leaver), Equals(set()))


def test_lost_messages_leave_no_wrong_belief_behind(medium_fleet):
    medium_fleet.network.loss = 0.3
    medium_fleet.clock.run(30)
    medium_fleet.network.loss = 0
    medium_fleet.clock.run(CONVERGED_S)
    check_all_live(medium_fleet)


def test_lagging_vm_list_decides_nothing(medium_fleet):
    lost, unlisted = sorted(medium_fleet.nodes)[:2]
    medium_fleet.kill(lost, with_vm=True)
    medium_fleet.platform.listed.pop(unlisted)
    medium_fleet.clock.run(100)
    check_all_live(medium_fleet)


def test_member_off_the_list_is_forgotten_in_the_end(small_fleet):
    lost = first_of(small_fleet)
    small_fleet.kill(lost, with_vm=True)
    small_fleet.platform.listed.pop(lost)
    small_fleet.clock.run(700)
    known = [node.table.state.members for node in small_fleet.running()]
    assert_that(any(lost in members for members in known), Is(False))


def test_unknown_vm_joins_before_the_list_names_it(medium_fleet):
    fresh = Identity('fresh', 'centre-0-0', 'region-0', '10.9.9.9:7000', 7)
    medium_fleet.start(fresh)
    medium_fleet.clock.run(5)
    check_all_live(medium_fleet)


def test_members_live_on_without_the_vm_list(medium_fleet):
    medium_fleet.platform.is_reachable = False
    medium_fleet.kill(first_of(medium_fleet), with_vm=True)
    medium_fleet.clock.run(30)
    check_all_live(medium_fleet)
