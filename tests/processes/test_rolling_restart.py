import signal
import sys
import time
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from standins.cluster import Cluster, call, running
from tests.processes.balancer import balanced
from tests.processes.conftest import CALL_TIMEOUT_S, PLAN

CALLERS = 6
# Within it a balancer that polls each second has looked twice.
NOTICED = replace(PLAN, timing=('leave_notice_s = 2.5',))
LONG_NOTICE = replace(PLAN, timing=('leave_notice_s = 60',))
UNFENCED = replace(
    NOTICED,
    services=tuple(replace(each, fencing='none') for each in PLAN.services),
)
SETTLED_S = 1.5
LEAST_WHOLE = 500


@pytest.mark.parametrize('plan', [NOTICED, UNFENCED], ids=['token', 'none'])
def test_rolling_restart_loses_and_refuses_nothing(tmp_path, plan):
    with running(Cluster(plan, tmp_path)) as cluster:
        daemons = cluster.places.daemons
        with balanced(daemons, CALLERS) as balancer:
            for daemon in daemons:
                time.sleep(SETTLED_S)
                assert_that(cluster.terminate(daemon.name), Equals(0))
                cluster.start_daemon(daemon.name)
                cluster.wait_answering(daemon.admin, '/ready')
            time.sleep(SETTLED_S)
    told = dict(balancer.told)
    sys.stdout.write(f'rolling_restart: {told}\n')
    whole = told.pop('whole')
    assert_that(told, Equals({}))
    assert_that(whole, GreaterThan(LEAST_WHOLE))


def test_second_signal_ends_the_daemon_at_once(tmp_path):
    with running(Cluster(LONG_NOTICE, tmp_path)) as cluster:
        leaving = cluster.places.daemons[0]
        process = cluster.processes[leaving.name]
        process.send_signal(signal.SIGTERM)
        cluster.wait(lambda: call(leaving.admin, 'GET', '/ready')[0] == 503)
        process.send_signal(signal.SIGTERM)
        assert_that(process.wait(CALL_TIMEOUT_S), Equals(0))
