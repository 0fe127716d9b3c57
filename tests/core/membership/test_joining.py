import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.control.fleet import SILENT_S
from laburnumyard.core.membership import (
    Identity,
    Leave,
)
from tests.core.membership.conftest import (
    ALL_NOTICE_S,
    HEALED_S,
    believers,
    check_all_live,
    first_of,
    others,
)

LEAVE_KNOWN_S = 3


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


def test_lost_messages_leave_no_wrong_belief_behind(medium):
    medium.network.loss = 0.3
    medium.clock.run(30)
    medium.network.loss = 0
    medium.clock.run(HEALED_S)
    check_all_live(medium)


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
