import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.control.fleet import CONFIG
from bench.control.store import TIMEOUT_S
from laburnumyard.core.dissemination import (
    DocumentName,
    NamesChanged,
    Published,
    Source,
)
from laburnumyard.core.dissemination import _adopting as adopting
from laburnumyard.core.dissemination import _reacting as reacting
from laburnumyard.core.membership import Leave
from tests.core.dissemination.conftest import (
    IN_FORCE_S,
    check_in_force,
    check_never_falls,
    publish,
    reach,
    sources,
)

FLEETS = pytest.mark.parametrize('fleet_name', ['today', 'wide', 'letter'])
SMALL_FLEETS = pytest.mark.parametrize('fleet_name', ['today', 'wide'])
ASSIGNMENT = DocumentName('assignment/orders')


def ignore(state, daemons, reply):
    """Send nothing."""


def in_centre(fleet, centre):
    return {
        node.identity.daemon
        for node in fleet.running()
        if node.identity.data_centre == centre
    }


@FLEETS
def test_configuration_is_in_force_everywhere(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    publish(fleet, 2)
    reach(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='store-down')
@pytest.mark.cell(step='join', fault='store-down')
@FLEETS
def test_fresh_daemons_learn_from_peers_in_an_outage(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    fleet.store.is_down = True
    fleet.clock.run(16)
    fresh = sorted(fleet.nodes)[:12:4]
    for daemon in fresh:
        fleet.restart(daemon)
    reach(fleet, 1)
    check_never_falls(fleet)
    found = {source for one in fresh for source in sources(fleet, one)}
    assert_that(found, Equals({Source.PEER}))


def test_all_daemons_at_once_start_from_the_store(wide):
    for daemon in sorted(wide.nodes):
        wide.restart(daemon)
    reach(wide, 1)
    found = {source for one in wide.nodes for source in sources(wide, one)}
    assert_that(found <= {Source.STORE, Source.READER}, Is(True))


def test_all_daemons_at_once_wait_for_the_store_to_return(wide):
    wide.store.is_down = True
    for daemon in sorted(wide.nodes):
        wide.restart(daemon)
    wide.clock.run(60)
    check_in_force(wide, 0)
    wide.store.is_down = False
    reach(wide, 1)


def test_publication_after_an_outage_reaches_all(wide):
    wide.store.is_down = True
    wide.clock.run(100)
    wide.store.is_down = False
    publish(wide, 2)
    reach(wide, 2)


@pytest.mark.cell(step='disseminate', fault='store-slow')
@SMALL_FLEETS
def test_slow_store_delays_a_version_within_the_bound(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    fleet.store.answer_s = 0.9 * TIMEOUT_S
    publish(fleet, 2)
    reach(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='join', fault='store-slow')
def test_fresh_daemons_get_the_configuration_from_a_slow_store(wide):
    wide.store.answer_s = 0.9 * TIMEOUT_S
    for daemon in sorted(wide.nodes):
        wide.restart(daemon)
    reach(wide, 1)
    check_never_falls(wide)


@pytest.mark.cell(step='disseminate', fault='silent-connection')
def test_daemons_whose_connections_go_silent_get_the_version_in_time(wide):
    for daemon in sorted(wide.nodes)[::5]:
        wide.lose_track(daemon)
        wide.cut_from_store.add(daemon)
    publish(wide, 2)
    reach(wide, 2)
    check_never_falls(wide)


def test_data_centre_without_the_store_learns_from_the_others(wide):
    wide.cut_from_store.update(in_centre(wide, 'centre-1-0'))
    wide.clock.run(12)
    publish(wide, 2)
    reach(wide, 2)


@pytest.mark.cell(step='disseminate', fault='cut')
@pytest.mark.cell(step='disseminate', fault='one-way-cut')
@pytest.mark.parametrize('is_one_way', [False, True])
@SMALL_FLEETS
def test_version_reaches_what_was_cut_off_once_it_is_back(
    fleet_name, is_one_way, request
):
    fleet = request.getfixturevalue(fleet_name)
    apart = in_centre(fleet, 'centre-0-1')
    fleet.cut_from_store.update(apart)

    def cut(source, destination):
        if is_one_way:
            return source.daemon not in apart and destination.daemon in apart
        return (source.daemon in apart) != (destination.daemon in apart)

    fleet.network.cuts.append(cut)
    fleet.clock.run(10)
    publish(fleet, 2)
    reach(fleet, 2, apart)
    fleet.network.cuts.clear()
    reach(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='pause')
def test_paused_daemons_catch_up_when_they_wake(wide):
    sleepers = sorted(wide.nodes)[::3]
    for daemon in sleepers:
        wide.pause(daemon, 20)
    publish(wide, 2)
    reach(wide, 2, sleepers)
    wide.clock.run(7)
    reach(wide, 2)
    check_never_falls(wide)


@pytest.mark.cell(step='disseminate', fault='kill')
@SMALL_FLEETS
def test_loss_of_all_readers_of_a_data_centre_delays_nothing_for_long(
    fleet_name, request
):
    fleet = request.getfixturevalue(fleet_name)
    table = fleet.nodes[min(in_centre(fleet, 'centre-0-0'))].table
    publish(fleet, 2)
    for reader in table.readers('centre-0-0'):
        fleet.kill(reader, with_vm=True)
    reach(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='racing-operators')
def test_versions_in_quick_succession_end_with_the_last(wide):
    for version in range(2, 8):
        publish(wide, version)
        wide.clock.run(0.02)
    reach(wide, 7)
    check_never_falls(wide)


@pytest.mark.cell(step='leave', fault='store-down')
def test_leaving_readers_hand_on_what_they_hold(wide):
    wide.store.is_down = True
    for daemon in wide.nodes['entry-000'].table.readers('centre-0-0'):
        wide.nodes[daemon].table_take(Leave())
        wide.clock.run(1)
        wide.kill(daemon)
    fresh = max(in_centre(wide, 'centre-0-0'))
    wide.restart(fresh)
    reach(wide, 1)


def test_lost_messages_cost_time_only(wide):
    wide.network.loss = 0.3
    publish(wide, 2)
    reach(wide, 2)
    check_never_falls(wide)


def test_check_catches_daemons_that_never_compare(wide, monkeypatch):
    monkeypatch.setattr(adopting, 'draw_peers', lambda *_: set())
    monkeypatch.setattr(reacting, 'send_versions', ignore)
    publish(wide, 2)
    wide.clock.run(IN_FORCE_S)
    with pytest.raises(AssertionError, match='not 2'):
        reach(wide, 2)


def test_check_catches_a_daemon_whose_version_falls(today):
    node = today.nodes['entry-000']
    publish(today, 2)
    today.clock.run(IN_FORCE_S)
    entry = node.documents.state.entries[CONFIG]
    old = entry.history.popleft()
    entry.history.clear()
    node.documents_take(Published(old))
    with pytest.raises(AssertionError, match='fell from 2 to 1'):
        check_never_falls(today)


def test_store_that_falls_back_changes_nothing(wide):
    publish(wide, 5)
    wide.clock.run(IN_FORCE_S)
    publish(wide, 3)
    reach(wide, 5)
    check_never_falls(wide)


def test_assignment_travels_from_the_daemon_that_changed_it(wide):
    for node in wide.running():
        node.documents_take(NamesChanged((CONFIG, ASSIGNMENT)))
    wide.store.is_down = True
    publish(wide, 1, ASSIGNMENT)
    document = wide.store.documents[ASSIGNMENT]
    wide.nodes['entry-007'].documents_take(Published(document))
    wide.clock.run(2)
    check_in_force(wide, 1, name=ASSIGNMENT)


def test_service_that_returns_goes_on_from_its_version(today):
    for names in ((CONFIG, ASSIGNMENT), (CONFIG,), (CONFIG, ASSIGNMENT)):
        for node in today.running():
            node.documents_take(NamesChanged(names))
        publish(today, 4, ASSIGNMENT)
        today.clock.run(3)
    check_in_force(today, 4, name=ASSIGNMENT)
    check_never_falls(today)


@pytest.mark.parametrize('fleet_name', ['wide', 'letter'])
def test_store_calls_do_not_grow_with_the_fleet(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    before = fleet.store.calls
    fleet.clock.run(11)
    calls = fleet.store.calls - before
    # Two readers in each of eleven data centres, one watch of 10 s each.
    assert_that(calls <= 22 * 3, Is(True))
