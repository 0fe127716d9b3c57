from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.core.routes import RouteTable, ServiceSpec
from laburnumyard.gateway._cluster_view import (
    ClusterView,
    Coordinator,
    Member,
)
from laburnumyard.gateway._coordinator_elections import Elections

pytestmark = pytest.mark.anyio
DELAY_S = 0.05


class Roles:
    """A gateway's roles, and what became of them."""

    def __init__(self):
        self.roles = {}
        self.events = []

    def dispatcher_of(self, service):
        return self.roles.get(service)

    def leave(self, reason, *, is_final):
        self.roles.clear()
        self.events.append(reason)

    async def end(self):
        self.events.append('session-ended')


@pytest.fixture
def roles():
    return Roles()


@pytest.fixture
def elections(roles):
    session = SimpleNamespace(
        end=roles.end, health=SimpleNamespace(is_reachable=True)
    )
    made = Elections(None, ClusterView(), session, roles, None)
    made.election_delay = lambda: DELAY_S

    async def claim(service):
        roles.events.append('claimed')
        await anyio.sleep(DELAY_S)
        roles.roles[service] = 'dispatcher'

    made.claim_role = claim
    return made


# RECOVER: a gateway that lost its targets while it waited to claim a role took
# it, and kept it for as long as it was cut off.
@pytest.mark.parametrize(
    ('lost_after_s', 'events'),
    [
        (DELAY_S / 2, []),
        (DELAY_S * 3 / 2, ['claimed', 'targets-lost', 'session-ended']),
        (DELAY_S * 3, ['claimed']),
    ],
)
async def test_a_role_is_not_claimed_after_the_loss_of_all_targets(
    elections, roles, lost_after_s, events
):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(elections.elect, 'catalogue')
        await anyio.sleep(lost_after_s)
        elections.reach.note_probes(0, 4, 0)
    assert_that(roles.events, Equals(events))


async def test_a_gateway_claims_a_role_that_no_other_one_takes(
    elections, roles
):
    elections.reach.note_probes(0, 4, 0)
    await elections.elect('catalogue')
    assert_that(roles.events, Equals(['claimed']))


async def test_a_role_is_not_taken_from_a_gateway_that_was_faster(roles):
    """A claim took the role from a coordinator that had just been elected.

    The epoch for the conditional write was read after the session was opened,
    and by then it was that of the new coordinator.
    """
    service = ServiceName('catalogue')
    view = ClusterView(has_coordinators=True)
    view.adopt_routes(
        RouteTable(1, (), {service: ServiceSpec(service, '/healthz', 9, False)})
    )
    faster = Coordinator(Member(DaemonName('lima-a-2'), '127.0.0.1:2', 1), 7)
    writes = []

    async def acquire():
        view.adopt_coordinator(service, faster)
        return True

    async def compare_and_swap(write):
        writes.append(write)

    session = SimpleNamespace(
        acquire=acquire,
        session_id=1,
        member=Member(DaemonName('lima-a-1'), '127.0.0.1:1', 1),
    )
    store = SimpleNamespace(compare_and_swap=compare_and_swap)
    roles.is_leaving = False
    elections = Elections(store, view, session, roles, None)
    await elections.claim_role(service)
    assert_that(writes, Equals([]))
    assert_that(view.coordinators[service], Equals(faster))
