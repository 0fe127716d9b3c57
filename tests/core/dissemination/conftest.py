import pytest

from bench.control.fleet import CONFIG, Fleet
from bench.control.layout import Layout
from bench.control.store import make_document

LARGE = Layout(regions=(4, 4, 3), daemons=690)
WIDE = Layout(regions=(4, 4, 3), daemons=66)
SMALL = Layout(regions=(3,), daemons=9)
# Requirement: a configuration is in force everywhere within 13 s.
IN_FORCE_S = 13


def start(layout, seed, version=1):
    """Start daemons that know each other and hold the first version."""
    fleet = Fleet(layout, seed=seed)
    publish(fleet, version)
    fleet.start_warm()
    wait_until_in_force(fleet, version)
    return fleet


def publish(fleet, version, name=CONFIG):
    """Write a version to the store."""
    same = b'same in every version' * 50
    changed = f'changed in {version}'.encode() * 50
    fleet.store.put(make_document(name, version, (same, changed)))


def check_in_force(fleet, version, excluded=(), name=CONFIG):
    """Check the active version of each running daemon from outside."""
    found = fleet.in_force(name)
    late = {
        daemon: held
        for daemon, held in found.items()
        if held != version and daemon not in excluded
    }
    assert not late, f'at {fleet.clock.now:.1f} s not {version}: {late}'


def wait_until_in_force(fleet, version, excluded=(), name=CONFIG):
    """Wait until a version is in force; fail after `IN_FORCE_S`."""
    for _ in range(IN_FORCE_S):
        fleet.clock.run(1)
        held = fleet.in_force(name)
        if all(held[one] == version for one in held if one not in excluded):
            return
    check_in_force(fleet, version, excluded, name)


def check_never_falls(fleet):
    """Check that no version decreased within a lifetime of any daemon."""
    for daemon, adoptions in fleet.observer.adoptions.items():
        highest = {}
        for adoption in adoptions:
            life = (adoption.incarnation, adoption.name)
            before = highest.get(life, 0)
            assert adoption.version > before, (
                f'{daemon} fell from {before} to {adoption.version}'
            )
            highest[life] = adoption.version


def sources(fleet, daemon):
    """Return the sources of the versions adopted by the newest incarnation."""
    incarnation = fleet.nodes[daemon].identity.incarnation
    return [
        adoption.source
        for adoption in fleet.observer.adoptions.get(daemon, ())
        if adoption.incarnation == incarnation
    ]


@pytest.fixture
def small_fleet():
    return start(SMALL, seed=1)


@pytest.fixture
def wide_fleet():
    return start(WIDE, seed=2)


@pytest.fixture
def large_fleet():
    return start(LARGE, seed=3)
