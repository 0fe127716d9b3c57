import pytest

from bench.control.fleet import Fleet
from bench.control.layout import Layout

LARGE = Layout(regions=(4, 4, 3), daemons=690)
SMALL = Layout(regions=(3,), daemons=9)
WIDE = Layout(regions=(4, 4, 3), daemons=66)
# Bounds in seconds until all daemons detect a failure, and until their views
# agree after a fault has ended.
ALL_DETECT_S = 4
CONVERGED_S = 15
MEDIUM = Layout(regions=(3, 3, 3), daemons=27)


def first_of(fleet):
    """Return the first of the running daemons."""
    return min(node.identity.daemon for node in fleet.running())


def check_all_live(fleet):
    """Check that every running daemon sees exactly the running ones live."""
    running = {node.identity.daemon for node in fleet.running()}
    for node in fleet.running():
        believed = {one.daemon for one in node.table.live()}
        assert believed == running, (
            f'{node.identity.daemon} at {fleet.clock.now:.1f} s: '
            f'missing {running - believed}, wrong {believed - running}'
        )


def believers(fleet, daemon):
    """Return the other running daemons that consider a daemon live."""
    return {
        node.identity.daemon
        for node in fleet.running()
        if node.identity.daemon != daemon
        and any(one.daemon == daemon for one in node.table.live())
    }


def others(fleet, daemon):
    """Return the other running daemons."""
    return {
        node.identity.daemon
        for node in fleet.running()
        if node.identity.daemon != daemon
    }


@pytest.fixture
def small_fleet():
    """Nine daemons in three data centres that know each other."""
    fleet = Fleet(SMALL, seed=1)
    fleet.start_warm()
    fleet.clock.run(3)
    return fleet


@pytest.fixture
def medium_fleet():
    """27 daemons in three regions that know each other."""
    fleet = Fleet(MEDIUM, seed=2)
    fleet.start_warm()
    fleet.clock.run(3)
    return fleet


@pytest.fixture
def large_fleet():
    """690 daemons in eleven data centres that know each other."""
    fleet = Fleet(LARGE, seed=3)
    fleet.start_warm()
    fleet.clock.run(2)
    return fleet


@pytest.fixture
def wide_fleet():
    """66 daemons in eleven data centres that know each other."""
    fleet = Fleet(WIDE, seed=4)
    fleet.start_warm()
    fleet.clock.run(2)
    return fleet
