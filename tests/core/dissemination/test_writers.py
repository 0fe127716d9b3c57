"""Writers of an assignment that know too little, or too late."""

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
from laburnumyard.core.dissemination import _adopting as adopting
from laburnumyard.core.dissemination import _reacting as reacting
from laburnumyard.core.dissemination import _reading as reading
from tests.core.dissemination.conftest import (
    check_in_force,
    check_never_falls,
    publish,
    reach,
)

ASSIGNMENT = DocumentName('assignment/orders')
WRITER = 'entry-007'
SMALL_FLEETS = pytest.mark.parametrize('fleet_name', ['today', 'wide'])
STORE_STATES = pytest.mark.parametrize('is_down', [False, True])
# Longer than a lease and its successor's wait.
PAUSE_S = 20
SETTLE_S = 2


def prepare(fleet):
    """Let all daemons hold the first version of an assignment."""
    for node in fleet.running():
        node.documents_take(NamesChanged((CONFIG, ASSIGNMENT)))
    publish(fleet, 1, ASSIGNMENT)
    reach(fleet, 1, name=ASSIGNMENT)


def accept(fleet, version):
    """Have the store accept a version; return what its writer publishes."""
    publish(fleet, version, ASSIGNMENT)
    return Published(fleet.store.documents[ASSIGNMENT])


def held(fleet, daemon):
    return fleet.in_force(ASSIGNMENT)[daemon]


def lose_answer(fleet):
    """Write a version whose writer is not told, and settles it later."""
    settled = accept(fleet, 2)
    assert_that(held(fleet, WRITER), Equals(1))
    reach(fleet, 2, name=ASSIGNMENT)
    fleet.nodes[WRITER].documents_take(settled)
    fleet.clock.run(SETTLE_S)
    check_in_force(fleet, 2, name=ASSIGNMENT)
    check_never_falls(fleet)


def sleep_past_lease(fleet, *, is_down):
    """Let a holder publish its version when its successor has followed it.

    The holder's write was acknowledged just before it was paused.
    """
    holder = fleet.nodes[WRITER]
    fleet.pause(WRITER, PAUSE_S)
    stale = accept(fleet, 2)
    holder.wake_or_wait(partial(holder.documents_take, stale))
    successor = next(one for one in fleet.running() if one is not holder)
    successor.documents_take(accept(fleet, 3))
    fleet.store.is_down = is_down
    reach(fleet, 3, apart={WRITER}, name=ASSIGNMENT)
    assert_that(held(fleet, WRITER), Equals(1))
    fleet.clock.run(PAUSE_S)
    assert_that(holder.is_paused, Is(False))
    reach(fleet, 3, name=ASSIGNMENT)
    # The same once more, where the news of the successor came first.
    holder.documents_take(stale)
    fleet.clock.run(SETTLE_S)
    check_in_force(fleet, 3, name=ASSIGNMENT)
    check_never_falls(fleet)


@pytest.mark.cell(step='disseminate', fault='write-answer-lost')
@SMALL_FLEETS
def test_version_whose_writer_got_no_answer_is_in_force(fleet_name, request):
    fleet = request.getfixturevalue(fleet_name)
    prepare(fleet)
    lose_answer(fleet)


@pytest.mark.cell(step='disseminate', fault='lease-lapsed')
@STORE_STATES
@SMALL_FLEETS
def test_holder_that_slept_past_its_lease_undoes_nothing(
    fleet_name, is_down, request
):
    fleet = request.getfixturevalue(fleet_name)
    prepare(fleet)
    sleep_past_lease(fleet, is_down=is_down)


def test_check_catches_readers_that_do_not_watch(today, monkeypatch):
    prepare(today)
    monkeypatch.setattr(reading, 'adopt', lambda *arguments: False)
    with pytest.raises(AssertionError, match='not 2'):
        lose_answer(today)


def test_check_catches_a_holder_that_trusts_its_late_answer(today, monkeypatch):
    def adopt(state, document, source, confirmed_at):
        state.entries[document.name].history.clear()
        return adopting.adopt(state, document, source, confirmed_at)

    prepare(today)
    monkeypatch.setattr(reacting, 'adopt', adopt)
    with pytest.raises(AssertionError, match='fell from 3 to 2'):
        sleep_past_lease(today, is_down=False)
