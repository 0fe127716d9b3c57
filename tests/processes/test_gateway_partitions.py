"""Gateways that are cut off from all targets serve their callers by peers."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from standins._gateway_target import GatewayTarget
from standins.gateway_cluster import running_gateways
from standins.gateway_faults import (
    SHARED_HOLD_S,
    FaultSeries,
    outdated_grants,
)
from standins.partitioned_gateway import Cut

pytestmark = pytest.mark.anyio
GATEWAYS = 5
PER_SECOND = 12
# First tries count from this time after the cut on, as the users' rule says.
SETTLED_AFTER_S = 3
CUT_S = 5
# At least this part of what the other gateways serve, and all but this part.
SERVED_RATIO = 2 / 3
FAILED_FRACTION = 1 / 50


@pytest.fixture
async def cluster(tmp_path):
    targets = [
        GatewayTarget(f'i-{number}', 'catalogue', is_keyed=True)
        for number in range(4)
    ]
    async with running_gateways(tmp_path, targets, GATEWAYS) as running:
        yield running


async def ask_each(cluster, duration_s):
    """Return the statuses that callers of each gateway get in some time."""
    statuses = {gateway.name: [] for gateway in cluster.gateways}

    async def ask(gateway, number):
        await anyio.sleep(number / PER_SECOND / GATEWAYS)
        key = (number * 7919) % 65_536
        answered = await cluster.ask(gateway, '/benches/1', key)
        statuses[gateway.name].append(answered.status)

    async with anyio.create_task_group() as tasks:
        for number in range(int(duration_s * PER_SECOND * GATEWAYS)):
            gateway = cluster.gateways[number % GATEWAYS]
            tasks.start_soon(ask, gateway, number)
    return statuses


def served(statuses, gateways):
    of_all = [status for each in gateways for status in statuses[each.name]]
    return of_all.count(200) / len(of_all)


# RECOVER: callers of gateways without targets were served by nobody, and those
# of all others far worse.
@pytest.mark.parametrize('cut', [Cut.HANG, Cut.RESET, Cut.REFUSE])
async def test_gateways_without_targets_serve_by_peers(cluster, cut):
    coordinator = cluster.coordinator()
    others = [each for each in cluster.gateways if each is not coordinator]
    lost, reaching = [coordinator, *others[:2]], others[2:]
    series = FaultSeries(cluster, 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(series.sample)
        await ask_each(cluster, 1)
        for gateway in lost:
            gateway.cut(cut, cluster.targets)
        await ask_each(cluster, SETTLED_AFTER_S)
        statuses = await ask_each(cluster, CUT_S)
        for gateway in lost:
            gateway.cut(Cut.NONE, cluster.targets)
        await ask_each(cluster, SETTLED_AFTER_S)
        healed = await ask_each(cluster, 1)
        tasks.cancel_scope.cancel()
    at_lost, at_others = served(statuses, lost), served(statuses, reaching)
    assert_that(at_others, GreaterThan(1 - FAILED_FRACTION))
    assert_that(at_lost, GreaterThan(SERVED_RATIO * at_others))
    assert_that(at_lost, GreaterThan(1 - FAILED_FRACTION))
    assert_that(served(healed, cluster.gateways), Equals(1))
    assert_that(series.longest_shared, LessThan(SHARED_HOLD_S))
    assert_that(list(outdated_grants(cluster.targets)), Equals([]))
