"""Writers of an assignment that lose a write response or publish it late.

A lost response, or a pause beyond the lease, must not roll back a version.
"""

from functools import partial

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.control.fleet import CONFIG
from laburnumyard.core.dissemination import (
    DocumentName,
    NamesChanged,
    Published,
)
from laburnumyard.core.dissemination import _adoption as adoption
from laburnumyard.core.dissemination import _event_handlers as event_handlers
from laburnumyard.core.dissemination import _store_reads as store_reads
from tests.core.dissemination.conftest import (
    check_in_force,
    check_never_falls,
    publish,
    wait_until_in_force,
)

ASSIGNMENT = DocumentName('assignment/orders')
WRITER = 'entry-007'
SMALL_FLEETS = pytest.mark.parametrize(
    'fleet_name', ['small_fleet', 'wide_fleet']
)
STORE_STATES = pytest.mark.parametrize('is_down', [False, True])
# Longer than a lease plus the wait of the successor.
PAUSE_S = 20
SETTLE_S = 2


def prepare(fleet):
    """Bring the first version of an assignment to all daemons."""
    for node in fleet.running():
        node.documents_take(NamesChanged((CONFIG, ASSIGNMENT)))
    publish(fleet, 1, ASSIGNMENT)
    wait_until_in_force(fleet, 1, name=ASSIGNMENT)


def accept(fleet, version):
    """Write a version to the store; return the event of its writer."""
    publish(fleet, version, ASSIGNMENT)
    return Published(fleet.store.documents[ASSIGNMENT])


def held(fleet, daemon):
    return fleet.in_force(ASSIGNMENT)[daemon]


def lose_write_answer(fleet):
    """Write a version whose writer gets no response and learns of it later."""
    settled = accept(fleet, 2)
    assert_that(held(fleet, WRITER), Equals(1))
    wait_until_in_force(fleet, 2, name=ASSIGNMENT)
    fleet.nodes[WRITER].documents_take(settled)
    fleet.clock.run(SETTLE_S)
    check_in_force(fleet, 2, name=ASSIGNMENT)
    check_never_falls(fleet)


def pause_past_lease(fleet, *, is_down):
    """Publish the version of a paused lease holder after its successor's.

    The holder's write was acknowledged just before it was paused.
    """
    holder = fleet.nodes[WRITER]
    fleet.pause(WRITER, PAUSE_S)
    stale = accept(fleet, 2)
    holder.wake_or_wait(partial(holder.documents_take, stale))
    successor = next(one for one in fleet.running() if one is not holder)
    successor.documents_take(accept(fleet, 3))
    fleet.store.is_down = is_down
    wait_until_in_force(fleet, 3, excluded={WRITER}, name=ASSIGNMENT)
    assert_that(held(fleet, WRITER), Equals(1))
    fleet.clock.run(PAUSE_S)
    assert_that(holder.is_paused, Is(False))
    wait_until_in_force(fleet, 3, name=ASSIGNMENT)
    # Repeat with the successor's version already known to the holder.
    holder.documents_take(stale)
    fleet.clock.run(SETTLE_S)
    check_in_force(fleet, 3, name=ASSIGNMENT)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='write-answer-lost')
@SMALL_FLEETS
def test_version_whose_writer_got_no_answer_is_in_force(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    prepare(fleet)
    lose_write_answer(fleet)


@pytest.mark.cell(step='disseminate', fault='lease-lapsed')
@STORE_STATES
@SMALL_FLEETS
def test_holder_that_slept_past_its_lease_undoes_nothing(
    fleet_name, is_down, request
):
    fleet = request.getfixturevalue(fleet_name)
    prepare(fleet)
    pause_past_lease(fleet, is_down=is_down)


def test_check_catches_readers_that_do_not_watch(small_fleet, monkeypatch):
    prepare(small_fleet)
    monkeypatch.setattr(store_reads, 'adopt', lambda *arguments: False)
    with pytest.raises(AssertionError, match='not 2'):
        lose_write_answer(small_fleet)


def test_check_catches_a_holder_that_trusts_its_late_answer(
    small_fleet, monkeypatch
):
    def adopt(state, document, source, confirmed_at):
        state.entries[document.name].history.clear()
        return adoption.adopt(state, document, source, confirmed_at)

    prepare(small_fleet)
    monkeypatch.setattr(event_handlers, 'adopt', adopt)
    with pytest.raises(AssertionError, match='fell from 3 to 2'):
        pause_past_lease(small_fleet, is_down=False)
