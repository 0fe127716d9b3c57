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

pytestmark = pytest.mark.anyio
# A confirmed configuration is in force after this time.
APPLIED_AFTER_S = 2.0
AWAY_S = 0.6


def make_targets():
    return [
        GatewayTarget(f'i-{number}', 'catalogue', is_keyed=True)
        for number in range(4)
    ]


async def lose_writes(cluster, copy, away_s=AWAY_S):
    """Take the store away and bring it back from a copy."""
    store = cluster.store
    store.faults.down = True
    store.wake()
    await anyio.sleep(away_s)
    store.store.restore(copy)
    store.faults.down = False
    # The operator and the targets write again what was lost.
    cluster.store.put('op/config', cluster.configuration())
    for target in cluster.targets:
        store.put(f'servers/{target.name}', target.entry())


async def move_keys(cluster, duration_s=1.5):
    """Load one target after the other with hot keys, so that keys move."""
    async with anyio.create_task_group() as tasks:
        for first in range(0, 65536, 16384):
            tasks.start_soon(cluster.load, 25, duration_s)
            for gateway in cluster.gateways:
                for key in range(first, first + 400, 40):
                    tasks.start_soon(cluster.ask, gateway, '/benches/1', key)
            await anyio.sleep(duration_s / 4)


async def ask_everywhere(cluster, path):
    statuses = []
    for gateway in cluster.gateways:
        answered = await cluster.ask(gateway, path, 7)
        statuses.append(answered.status)
    return statuses


# A configuration that was confirmed after the store came back from an older
# copy does not reach the gateways that do not read the store.
@pytest.mark.parametrize('lost_writes', [3, 60])
async def test_configuration_after_a_restored_store_is_in_force(
    tmp_path, lost_writes
):
    async with running_gateways(tmp_path, make_targets(), 5) as cluster:
        copy = cluster.store.store.copy()
        for number in range(lost_writes):
            cluster.store.put(f'servers/unknown-{number}', b'{}')
        cluster.configure('/benches/', '/chairs/')
        await anyio.sleep(APPLIED_AFTER_S)
        await lose_writes(cluster, copy, 2)
        await anyio.sleep(1.5)
        cluster.configure('/benches/', '/chairs/', '/tables/')
        await anyio.sleep(APPLIED_AFTER_S)
        statuses = await ask_everywhere(cluster, '/tables/1')
        assert_that(statuses, Equals([200] * 5))


# A gateway goes back to the configuration of the copy.
async def test_no_gateway_returns_to_the_configuration_of_the_copy(tmp_path):
    async with running_gateways(tmp_path, make_targets(), 4) as cluster:
        copy = cluster.store.store.copy()
        cluster.configure('/benches/', '/chairs/')
        await anyio.sleep(APPLIED_AFTER_S)
        store = cluster.store
        store.faults.down = True
        store.wake()
        await anyio.sleep(AWAY_S)
        store.store.restore(copy)
        store.faults.down = False
        for _ in range(10):
            statuses = await ask_everywhere(cluster, '/chairs/1')
            assert_that(404 in statuses, Equals(False))
            await anyio.sleep(0.1)


# The coordinator takes the assignment of the copy for its own, and gives keys
# to a target while another holds them under a token given out before.
@pytest.mark.parametrize(
    ('coordinator', 'returns'), [('kept', 1), ('kept', 2), ('killed', 1)]
)
async def test_no_key_has_two_holders_after_a_restored_store(
    tmp_path, coordinator, returns
):
    async with running_gateways(tmp_path, make_targets(), 4) as cluster:
        copy = cluster.store.store.copy()
        series = FaultSeries(cluster, 1)
        async with anyio.create_task_group() as tasks:
            series.watch(tasks)
            await move_keys(cluster)
            if coordinator == 'killed':
                cluster.coordinator().kill()
            for _ in range(returns):
                await lose_writes(cluster, copy)
                await move_keys(cluster, 3)
            await anyio.sleep(10)
            cluster.answered.clear()
            await cluster.load(40, 2)
            tasks.cancel_scope.cancel()
        assert_that(series.longest_shared, LessThan(SHARED_HOLD_S))
        assert_that(list(outdated_grants(cluster.targets)), Equals([]))
        served = [each for each in cluster.answered if each.status == 200]
        assert_that(len(served) / len(cluster.answered), GreaterThan(0.95))


# A target that left is in use again, since the copy of the store lists it.
async def test_target_that_left_is_not_used_after_a_restored_store(tmp_path):
    async with running_gateways(tmp_path, make_targets(), 4) as cluster:
        left = cluster.targets[-1]
        copy = cluster.store.store.copy()
        cluster.targets.remove(left)
        left.state = 'draining'
        cluster.store.put(f'servers/{left.name}', left.entry())
        await cluster.load(30, 1)
        cluster.store.remove(f'servers/{left.name}')
        await cluster.load(30, APPLIED_AFTER_S)
        before = len(left.arrivals)
        await lose_writes(cluster, copy)
        await cluster.load(40, 4)
        assert_that(len(left.arrivals) - before, Equals(0))
