import time

import pytest

FREEZE_S = 3


@pytest.mark.cell(step='send', fault='kill')
@pytest.mark.cell(step='renew', fault='kill')
@pytest.mark.cell(step='renew', fault='target-freeze')
@pytest.mark.cell(step='send', fault='target-freeze')
def test_targets_that_die_or_freeze_leave_one_owner(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(8))
    time.sleep(1)
    trial.kill_target('catalogue-2')
    trial.kill_target('orders-2')
    trial.wait_served('catalogue', 'orders')
    # Longer than a grant lives, so that its keys move.
    trial.cluster.pause('catalogue-1')
    trial.cluster.pause('orders-1')
    time.sleep(FREEZE_S)
    trial.wait_served('catalogue', 'orders')
    trial.cluster.resume('catalogue-1')
    trial.cluster.resume('orders-1')
    trial.join()
    trial.wait_served('catalogue', 'orders')
    assert_intact(trial)
