import os
import sys

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from standins._gateway_target import GatewayTarget
from standins.gateway_cluster import running_gateways
from standins.gateway_faults import (
    EVACUABLE,
    OVERSHOOT,
    SHARED_HOLD_S,
    SLACK,
    FaultSeries,
    outdated_grants,
)

pytestmark = pytest.mark.anyio
# More seeds by hand: LABURNUMYARD_SEEDS=1:51 pytest tests/processes/...
FIRST, STOP = map(int, os.environ.get('LABURNUMYARD_SEEDS', '1:3').split(':'))
FAULTS_S = 14
# Longest hold of a silent target, and time for what follows from its end.
SETTLED_AFTER_S = 12
DATA_CENTRES = ('lima-a', 'lima-a', 'lima-a', EVACUABLE)
WARM_UP_S = 3.0
WARM_UP_PER_S = 1.0
CAP = WARM_UP_PER_S * OVERSHOOT + SLACK


# Faults of gateways, store and targets that overlap leave two targets with one
# key, an old configuration in force, or keys without a target; requests reach
# an evacuated data centre, or too many a target that returns cold.
@pytest.mark.parametrize('seed', range(FIRST, STOP))
async def test_a_series_of_faults_leaves_nothing_broken(tmp_path, seed):
    targets = [
        GatewayTarget(f'i-{number}', 'catalogue', data_centre, is_keyed=True)
        for number, data_centre in enumerate(DATA_CENTRES)
    ]
    async with running_gateways(tmp_path, targets, 4, seed=seed) as cluster:
        cluster.warm_up_s = WARM_UP_S
        cluster.warm_up_per_s = WARM_UP_PER_S
        cluster.configure('/benches/')
        series = FaultSeries(cluster, seed)
        async with anyio.create_task_group() as tasks:
            series.watch(tasks)
            tasks.start_soon(cluster.load, 30, FAULTS_S + SETTLED_AFTER_S)
            await series.run(FAULTS_S)
            await anyio.sleep(SETTLED_AFTER_S)
            statuses = []
            for gateway in cluster.gateways:
                path = f'{cluster.routes[-1]}1'
                statuses.append((await cluster.ask(gateway, path, 7)).status)
            cluster.answered.clear()
            await cluster.load(30, 2)
            tasks.cancel_scope.cancel()
        sys.stdout.write('\n'.join(series.log))
        assert_that(list(outdated_grants(targets)), Equals([]))
        assert_that(series.longest_shared, LessThan(SHARED_HOLD_S))
        assert_that(series.late, Equals([]))
        assert_that(series.most_when_cold, LessThan(CAP))
        assert_that(statuses, Equals([200] * len(cluster.gateways)))
        served = [each for each in cluster.answered if each.status == 200]
        assert_that(len(served) / len(cluster.answered), GreaterThan(0.95))
