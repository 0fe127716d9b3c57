import os
import signal
import sys

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from standins._gateway_target import GatewayTarget
from standins.gateway_cluster import running_gateways
from standins.gateway_faults import FaultSeries
from standins.kept_callers import KeptCallers

pytestmark = pytest.mark.anyio
# More seeds by hand: LABURNUMYARD_SEEDS=1:51 pytest tests/processes/...
FIRST, STOP = map(int, os.environ.get('LABURNUMYARD_SEEDS', '1:3').split(':'))
GATEWAYS = int(os.environ.get('LABURNUMYARD_GATEWAYS', '4'))
FAULTS_S = 12
TEMPORARY = {408, 421, 429}


class PlannedWork(FaultSeries):
    """Stops, reloads and changes of the configuration, and faults beside."""

    async def stop(self):
        """Stop a gateway, but let half of them run."""
        if len(self.cluster.running()) > GATEWAYS // 2:
            await super().stop()

    async def reload(self):
        """Change the settings of a gateway, and tell it by a signal."""
        gateway = self.random.choice(self.cluster.gateways)
        text = gateway.settings.read_text()
        gateway.settings.write_text(f'{text}\n# changed\n')
        gateway.signal(signal.SIGHUP)

    async def slow_targets(self):
        """Have all targets be slow for a while."""
        for target in self.cluster.targets:
            target.work_s = self.random.choice((0.01, 0.1, 0.6))

    async def storm(self):
        """Change the configuration several times in a row."""
        for _ in range(5):
            await self.change_configuration()
            await anyio.sleep(0.05)

    async def run(self, duration_s, gap_s=0.5):
        faults = (
            self.stop,
            self.stop,
            self.reload,
            self.storm,
            self.slow_targets,
            self.take_store_away,
        )
        with anyio.move_on_after(duration_s):
            async with anyio.create_task_group() as tasks:
                while True:
                    fault = self.random.choice(faults)
                    self.note(fault.__name__)
                    tasks.start_soon(fault)
                    await anyio.sleep(self.random.expovariate(1 / gap_s))


# LOST, DENIED, MIXED: on connections that are kept through stops, reloads and
# changes, a request that runs gets no response, or one of another request, or a
# proper one is turned away for good.
@pytest.mark.parametrize('seed', range(FIRST, STOP))
async def test_kept_connections_lose_and_deny_nothing(tmp_path, seed):
    targets = [
        GatewayTarget(f'i-{number}', 'catalogue')
        for number in range(max(4, GATEWAYS))
    ]
    async with running_gateways(
        tmp_path, targets, GATEWAYS, keyed=False, seed=seed
    ) as cluster:
        callers = KeptCallers(cluster, seed)
        series = PlannedWork(cluster, seed)
        async with anyio.create_task_group() as tasks:
            for gateway in cluster.gateways * 4:
                tasks.start_soon(callers.use, gateway)
            await series.run(FAULTS_S)
            await anyio.sleep(2)
            tasks.cancel_scope.cancel()
    sys.stdout.write('\n'.join(series.log))
    began = set().union(*(target.began for target in targets))
    lost = [each for each in callers.unanswered if each[0] in began]
    assert_that(lost, Equals([]))
    assert_that(callers.swapped, Equals([]))
    denied = {
        status: number
        for status, number in callers.statuses.items()
        if 300 <= status < 500 and status not in TEMPORARY
    }
    assert_that(denied, Equals({}))
    assert_that(callers.statuses[200], GreaterThan(200))
