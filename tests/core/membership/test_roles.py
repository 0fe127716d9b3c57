import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from laburnumyard.core.membership import Leave, Scope
from tests.core.membership.conftest import check_all_live

CENTRES = tuple(
    f'centre-{region}-{centre}' for region in range(3) for centre in range(3)
)
SCOPES = tuple(
    Scope(f'service-{number}', centre)
    for number in range(4)
    for centre in CENTRES
)


def identity_of(fleet, daemon):
    return fleet.nodes[daemon].identity


def check_one_answer(fleet, ask):
    """Check that all daemons give the same answer, and return it."""
    answers = {ask(node.table) for node in fleet.running()}
    assert_that(len(answers), Equals(1))
    return answers.pop()


@pytest.mark.parametrize('scope', SCOPES, ids=str)
def test_manager_and_deputy_are_elsewhere_and_apart(medium_fleet, scope):
    manager = check_one_answer(
        medium_fleet, lambda table: table.manager_of(scope)
    )
    deputy = check_one_answer(
        medium_fleet, lambda table: table.deputy_of(scope)
    )
    identities = [
        identity_of(medium_fleet, daemon) for daemon in (manager, deputy)
    ]
    centres = {one.data_centre for one in identities} | {scope.data_centre}
    assert_that(len(centres), Equals(3))
    regions = {one.region for one in identities}
    assert_that(regions, Equals({f'region-{scope.data_centre[7]}'}))


@pytest.mark.parametrize('scope', SCOPES[:9], ids=str)
def test_deputy_manages_after_the_loss_of_the_managers_data_centre(
    medium_fleet, scope
):
    table = next(iter(medium_fleet.running())).table
    manager, deputy = table.manager_of(scope), table.deputy_of(scope)
    lost = identity_of(medium_fleet, manager).data_centre
    for node in medium_fleet.running():
        if node.identity.data_centre == lost:
            medium_fleet.kill(node.identity.daemon, with_vm=True)
    medium_fleet.clock.run(10)
    check_all_live(medium_fleet)
    after = check_one_answer(medium_fleet, lambda one: one.manager_of(scope))
    assert_that(after, Equals(deputy))


def test_dispatcher_is_near_its_target(medium_fleet):
    where = 'centre-1-2'
    first = check_one_answer(
        medium_fleet, lambda table: table.dispatcher_of('target', where)
    )
    assert_that(identity_of(medium_fleet, first).data_centre, Equals(where))
    for node in medium_fleet.running():
        if node.identity.data_centre == where:
            medium_fleet.kill(node.identity.daemon, with_vm=True)
    medium_fleet.clock.run(10)
    second = check_one_answer(
        medium_fleet, lambda table: table.dispatcher_of('target', where)
    )
    assert_that(identity_of(medium_fleet, second).region, Equals('region-1'))


def test_lone_daemon_takes_roles_only_elsewhere(small_fleet):
    node = next(iter(small_fleet.running()))
    for other in tuple(small_fleet.running()):
        if other is not node:
            small_fleet.kill(other.identity.daemon)
    small_fleet.clock.run(20)
    centre = node.identity.data_centre
    name = node.identity.daemon
    assert_that(node.table.dispatcher_of('target', centre), Equals(name))
    assert_that(node.table.manager_of(Scope('s', centre)), Is(None))
    assert_that(node.table.manager_of(Scope('s', 'other')), Equals(name))


def test_readers_are_two_for_each_data_centre(medium_fleet):
    for node in medium_fleet.running():
        centre = node.identity.data_centre
        readers = node.table.readers(centre)
        assert_that(len(set(readers)), Equals(2))
        reader_centres = {
            identity_of(medium_fleet, one).data_centre for one in readers
        }
        assert_that(reader_centres, Equals({centre}))


def test_leaving_daemon_takes_no_role(small_fleet):
    node = next(iter(small_fleet.running()))
    before = node.table.dispatcher_of('target', node.identity.data_centre)
    small_fleet.nodes[before].table_take(Leave())
    small_fleet.clock.run(1)
    after = check_one_answer(
        small_fleet,
        lambda table: table.dispatcher_of('target', node.identity.data_centre),
    )
    assert_that(after, Not(Equals(before)))
