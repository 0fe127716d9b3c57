import sys
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from standins.cluster import is_answering

DOWN_S = 3
SLOW_MS = 400
LOST_ANSWERS = 3


def versions(trial):
    return trial.status('vm-1')['assignments']


@pytest.mark.cell(step='renew', fault='store-down')
@pytest.mark.cell(step='send', fault='store-down')
@pytest.mark.cell(step='take-over', fault='store-slow')
@pytest.mark.cell(step='take-over', fault='write-answer-lost')
def test_store_that_is_down_slow_or_loses_answers(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(10))
    time.sleep(1)
    before = versions(trial)
    trial.platform(down=True)
    time.sleep(DOWN_S)
    trial.wait_served('catalogue', 'orders')
    assert_that(versions(trial), Equals(before))
    trial.platform(down=False, delay_ms=SLOW_MS)
    trial.kill_target('catalogue-2')
    trial.wait_served('catalogue', 'orders')
    trial.platform(delay_ms=0, lose_write_answers=LOST_ANSWERS)
    trial.kill_target('orders-2')
    trial.wait_served('catalogue', 'orders')
    after = versions(trial)
    assert_that(after['orders'], GreaterThan(before['orders']))
    assert_intact(trial)


@pytest.mark.cell(step='join', fault='store-down')
@pytest.mark.cell(step='disseminate', fault='store-down')
def test_daemon_restarted_in_an_outage_learns_from_its_peers(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(6))
    time.sleep(1)
    admin = trial.daemon_place('vm-3').admin
    trial.platform(down=True)
    trial.cluster.kill('vm-3')
    time.sleep(1)
    trial.cluster.start_daemon('vm-3')
    taken_s = trial.wait(lambda: is_answering(admin, '/ready'))
    sys.stdout.write(f'restarted_in_outage.ready_s={taken_s:.2f}\n')
    assert_that(set(trial.status('vm-3')['members']), Equals({'vm-1', 'vm-2'}))
    # The scopes that it managed wait for the store: their next term is there.
    trial.platform(down=False)
    trial.wait_served('catalogue', 'orders')
    assert_intact(trial)
