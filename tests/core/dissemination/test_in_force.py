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
from laburnumyard.core.dissemination import _adoption as adoption
from laburnumyard.core.dissemination import _event_handlers as event_handlers
from laburnumyard.core.membership import Leave
from tests.core.dissemination.conftest import (
    IN_FORCE_S,
    check_in_force,
    check_never_falls,
    publish,
    sources,
    wait_until_in_force,
)

FLEETS = pytest.mark.parametrize(
    'fleet_name', ['small_fleet', 'wide_fleet', 'large_fleet']
)
SMALL_FLEETS = pytest.mark.parametrize(
    'fleet_name', ['small_fleet', 'wide_fleet']
)
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
    wait_until_in_force(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='store-down')
@pytest.mark.cell(step='join', fault='store-down')
@FLEETS
def test_fresh_daemons_learn_from_peers_in_an_outage(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    fleet.store.is_down = True
    fleet.clock.run(16)
    empty = sorted(fleet.nodes)[:12:4]
    for daemon in empty:
        fleet.restart(daemon)
    wait_until_in_force(fleet, 1)
    check_never_falls(fleet)
    found = {source for one in empty for source in sources(fleet, one)}
    assert_that(found, Equals({Source.PEER}))


def test_all_daemons_at_once_start_from_the_store(wide_fleet):
    for daemon in sorted(wide_fleet.nodes):
        wide_fleet.restart(daemon)
    wait_until_in_force(wide_fleet, 1)
    found = {
        source
        for one in wide_fleet.nodes
        for source in sources(wide_fleet, one)
    }
    assert_that(found <= {Source.STORE, Source.READER}, Is(True))


def test_all_daemons_at_once_wait_for_the_store_to_return(wide_fleet):
    wide_fleet.store.is_down = True
    for daemon in sorted(wide_fleet.nodes):
        wide_fleet.restart(daemon)
    wide_fleet.clock.run(60)
    check_in_force(wide_fleet, 0)
    wide_fleet.store.is_down = False
    wait_until_in_force(wide_fleet, 1)


def test_publication_after_an_outage_reaches_all(wide_fleet):
    wide_fleet.store.is_down = True
    wide_fleet.clock.run(100)
    wide_fleet.store.is_down = False
    publish(wide_fleet, 2)
    wait_until_in_force(wide_fleet, 2)


@pytest.mark.cell(step='disseminate', fault='store-slow')
@SMALL_FLEETS
def test_slow_store_delays_a_version_within_the_bound(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    fleet.store.answer_s = 0.9 * TIMEOUT_S
    publish(fleet, 2)
    wait_until_in_force(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='join', fault='store-slow')
def test_fresh_daemons_get_the_configuration_from_a_slow_store(wide_fleet):
    wide_fleet.store.answer_s = 0.9 * TIMEOUT_S
    for daemon in sorted(wide_fleet.nodes):
        wide_fleet.restart(daemon)
    wait_until_in_force(wide_fleet, 1)
    check_never_falls(wide_fleet)


@pytest.mark.cell(step='disseminate', fault='silent-connection')
def test_daemons_whose_connections_go_silent_get_the_version_in_time(
    wide_fleet,
):
    for daemon in sorted(wide_fleet.nodes)[::5]:
        wide_fleet.lose_track(daemon)
        wide_fleet.cut_from_store.add(daemon)
    publish(wide_fleet, 2)
    wait_until_in_force(wide_fleet, 2)
    check_never_falls(wide_fleet)


def test_data_centre_without_the_store_learns_from_the_others(wide_fleet):
    wide_fleet.cut_from_store.update(in_centre(wide_fleet, 'centre-1-0'))
    wide_fleet.clock.run(12)
    publish(wide_fleet, 2)
    wait_until_in_force(wide_fleet, 2)


@pytest.mark.cell(step='disseminate', fault='cut')
@pytest.mark.cell(step='disseminate', fault='one-way-cut')
@pytest.mark.parametrize('is_one_way', [False, True])
@SMALL_FLEETS
def test_version_reaches_what_was_cut_off_once_it_is_back(
    fleet_name, is_one_way, request
):
    fleet = request.getfixturevalue(fleet_name)
    excluded = in_centre(fleet, 'centre-0-1')
    fleet.cut_from_store.update(excluded)

    def cut(source, destination):
        if is_one_way:
            return (
                source.daemon not in excluded and destination.daemon in excluded
            )
        return (source.daemon in excluded) != (destination.daemon in excluded)

    fleet.network.cuts.append(cut)
    fleet.clock.run(10)
    publish(fleet, 2)
    wait_until_in_force(fleet, 2, excluded)
    fleet.network.cuts.clear()
    wait_until_in_force(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='pause')
def test_paused_daemons_catch_up_when_they_wake(wide_fleet):
    paused = sorted(wide_fleet.nodes)[::3]
    for daemon in paused:
        wide_fleet.pause(daemon, 20)
    publish(wide_fleet, 2)
    wait_until_in_force(wide_fleet, 2, paused)
    wide_fleet.clock.run(7)
    wait_until_in_force(wide_fleet, 2)
    check_never_falls(wide_fleet)


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
    wait_until_in_force(fleet, 2)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='racing-operators')
def test_versions_in_quick_succession_end_with_the_last(wide_fleet):
    for version in range(2, 8):
        publish(wide_fleet, version)
        wide_fleet.clock.run(0.02)
    wait_until_in_force(wide_fleet, 7)
    check_never_falls(wide_fleet)


@pytest.mark.cell(step='leave', fault='store-down')
def test_leaving_readers_hand_on_what_they_hold(wide_fleet):
    wide_fleet.store.is_down = True
    for daemon in wide_fleet.nodes['entry-000'].table.readers('centre-0-0'):
        wide_fleet.nodes[daemon].table_take(Leave())
        wide_fleet.clock.run(1)
        wide_fleet.kill(daemon)
    empty = max(in_centre(wide_fleet, 'centre-0-0'))
    wide_fleet.restart(empty)
    wait_until_in_force(wide_fleet, 1)


def test_lost_messages_cost_time_only(wide_fleet):
    wide_fleet.network.loss = 0.3
    publish(wide_fleet, 2)
    wait_until_in_force(wide_fleet, 2)
    check_never_falls(wide_fleet)


def test_check_catches_daemons_that_never_compare(wide_fleet, monkeypatch):
    monkeypatch.setattr(adoption, 'draw_peers', lambda *_: set())
    monkeypatch.setattr(event_handlers, 'send_versions', ignore)
    publish(wide_fleet, 2)
    wide_fleet.clock.run(IN_FORCE_S)
    with pytest.raises(AssertionError, match='not 2'):
        wait_until_in_force(wide_fleet, 2)


def test_check_catches_a_daemon_whose_version_falls(small_fleet):
    node = small_fleet.nodes['entry-000']
    publish(small_fleet, 2)
    small_fleet.clock.run(IN_FORCE_S)
    entry = node.documents.state.entries[CONFIG]
    old = entry.history.popleft()
    entry.history.clear()
    node.documents_take(Published(old))
    with pytest.raises(AssertionError, match='fell from 2 to 1'):
        check_never_falls(small_fleet)


def test_store_that_falls_back_changes_nothing(wide_fleet):
    publish(wide_fleet, 5)
    wide_fleet.clock.run(IN_FORCE_S)
    publish(wide_fleet, 3)
    wait_until_in_force(wide_fleet, 5)
    check_never_falls(wide_fleet)


def test_assignment_travels_from_the_daemon_that_changed_it(wide_fleet):
    for node in wide_fleet.running():
        node.documents_take(NamesChanged((CONFIG, ASSIGNMENT)))
    wide_fleet.store.is_down = True
    publish(wide_fleet, 1, ASSIGNMENT)
    document = wide_fleet.store.documents[ASSIGNMENT]
    wide_fleet.nodes['entry-007'].documents_take(Published(document))
    wide_fleet.clock.run(2)
    check_in_force(wide_fleet, 1, name=ASSIGNMENT)


def test_service_that_returns_goes_on_from_its_version(small_fleet):
    for names in ((CONFIG, ASSIGNMENT), (CONFIG,), (CONFIG, ASSIGNMENT)):
        for node in small_fleet.running():
            node.documents_take(NamesChanged(names))
        publish(small_fleet, 4, ASSIGNMENT)
        small_fleet.clock.run(3)
    check_in_force(small_fleet, 4, name=ASSIGNMENT)
    check_never_falls(small_fleet)


@pytest.mark.parametrize('fleet_name', ['wide_fleet', 'large_fleet'])
def test_store_calls_do_not_grow_with_the_fleet(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    before = fleet.store.calls
    fleet.clock.run(11)
    calls = fleet.store.calls - before
    # Two readers in each of eleven data centres, one watch of 10 s each.
    assert_that(calls <= 22 * 3, Is(True))
