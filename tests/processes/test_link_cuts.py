import time

import pytest

CUT_S = 3
CUT_OFF = 'vm-2'
OTHERS = ('vm-1', 'vm-3')


@pytest.mark.cell(step='renew', fault='cut')
@pytest.mark.cell(step='take-over', fault='cut')
@pytest.mark.cell(step='send', fault='cut')
@pytest.mark.cell(step='answer', fault='cut')
def test_daemon_cut_off_both_ways_and_healed(
    relayed_trial,
    mixed_load,
    assert_intact,
):
    relays = relayed_trial.cluster.relays
    relayed_trial.send(*mixed_load(8))
    time.sleep(1)
    relays.cut(relays.directions_of(CUT_OFF))
    relayed_trial.wait_served('catalogue', 'orders', through=OTHERS)
    time.sleep(CUT_S)
    relays.heal()
    relayed_trial.wait_served('catalogue', 'orders')
    relayed_trial.join()
    relayed_trial.wait_served('catalogue', 'orders')
    assert_intact(relayed_trial)


@pytest.mark.cell(step='renew', fault='one-way-cut')
@pytest.mark.cell(step='take-over', fault='one-way-cut')
@pytest.mark.cell(step='send', fault='one-way-cut')
@pytest.mark.cell(step='answer', fault='one-way-cut')
def test_daemon_that_hears_but_is_not_heard_and_the_reverse(
    relayed_trial,
    mixed_load,
    assert_intact,
):
    relays = relayed_trial.cluster.relays
    directions = relays.directions_of(CUT_OFF)
    relayed_trial.send(*mixed_load(8))
    time.sleep(1)
    for silent in (True, False):
        relays.cut(
            each for each in directions if (each.sender == CUT_OFF) is silent
        )
        relayed_trial.wait_served('catalogue', 'orders', through=OTHERS)
        time.sleep(CUT_S)
        relays.heal()
        relayed_trial.wait_served('catalogue', 'orders')
    relayed_trial.join()
    relayed_trial.wait_served('catalogue', 'orders')
    assert_intact(relayed_trial)
