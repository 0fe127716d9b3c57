import sys
import time

import pytest

from standins.cluster import Cluster, ClusterPlan, ServiceShape, running
from standins.load import CallerClass
from standins.trial import Trial

PAUSE_S = 3
# Few keys and long work, so that two owners would run one key at once.
PLAN = ClusterPlan(
    services=(ServiceShape('forge', 3, slots=8, fencing='none', work_ms=40),),
)
CALLERS = CallerClass(
    name='forge',
    path='/forge/book',
    connections=16,
    rate=100,
    duration_s=8,
    keys=6,
    work_ms=40,
)


@pytest.fixture
def forge(tmp_path):
    with running(Cluster(PLAN, tmp_path)) as cluster:
        yield Trial(cluster)


@pytest.mark.cell(step='send', fault='pause')
@pytest.mark.cell(step='renew', fault='pause')
@pytest.mark.cell(step='send', fault='lease-lapsed')
def test_guard_that_was_paused_past_its_grants_sends_nothing_stale(
    forge,
    assert_intact,
):
    forge.send(CALLERS)
    time.sleep(1)
    forge.cluster.pause('vm-2')
    time.sleep(PAUSE_S)
    forge.cluster.resume('vm-2')
    forge.wait_served('forge')
    forge.cluster.kill('vm-3')
    taken_s = forge.wait_served('forge', through=('vm-1', 'vm-2'))
    sys.stdout.write(f'guard_killed.served_s={taken_s:.2f}\n')
    assert_intact(forge)
