import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

SCOPE = 'catalogue/lima-a'
DAEMONS = frozenset(('vm-1', 'vm-2', 'vm-3'))
WORK_MS = 1500
STARTED_S = 0.5
RESENDS = 3


def scopes_of(trial, daemon):
    return trial.status(daemon)['scopes']


def has_one_manager_per_scope(trial):
    scopes = [scope for each in DAEMONS for scope in scopes_of(trial, each)]
    return bool(scopes) and len(scopes) == len(set(scopes))


@pytest.mark.cell(step='renew', fault='pause')
@pytest.mark.cell(step='take-over', fault='pause')
@pytest.mark.cell(step='renew', fault='lease-lapsed')
def test_manager_that_was_paused_past_its_lease_steps_down(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(7))
    time.sleep(1)
    paused = trial.manager_of(SCOPE)
    others = DAEMONS - {paused}
    trial.cluster.pause(paused)
    trial.wait(
        lambda: any(SCOPE in scopes_of(trial, each) for each in others),
    )
    trial.wait_served('catalogue', 'orders', through=others)
    trial.cluster.resume(paused)
    trial.wait(lambda: has_one_manager_per_scope(trial))
    trial.wait_served('catalogue', 'orders')
    assert_intact(trial)


@pytest.mark.cell(step='renew', fault='kill')
@pytest.mark.cell(step='take-over', fault='kill')
@pytest.mark.cell(step='join', fault='kill')
@pytest.mark.cell(step='answer', fault='kill')
def test_daemons_that_die_are_replaced_and_their_tickets_are_void(
    trial,
    mixed_load,
    submit,
    count_runs,
    assert_intact,
):
    trial.send(*mixed_load(7))
    time.sleep(1)
    lost = trial.manager_of(SCOPE)
    live = DAEMONS - {lost}
    other = trial.daemon_place(min(live)).callers
    ticket = submit(trial.daemon_place(lost).callers).headers[
        'laburnumyard-ticket'
    ]
    trial.cluster.kill(lost)
    trial.wait_served('catalogue', 'orders', through=live)
    assert_that(submit(other, ticket).status >= 400, Is(True))
    trial.cluster.start_daemon(lost)
    trial.wait_served('catalogue', 'orders')
    answer = submit(other, ticket)
    assert_that(answer.headers['laburnumyard-error'], Equals('ticket-void'))
    assert_that(count_runs(trial, ticket), Equals(0))
    assert_intact(trial)


@pytest.mark.cell(step='send', fault='pause')
@pytest.mark.cell(step='retry', fault='pause')
def test_ticket_of_a_paused_issuer_runs_at_most_once(
    trial,
    submit,
    count_runs,
    assert_intact,
):
    issuer, second, third = (
        each.callers for each in trial.cluster.places.daemons
    )
    ticket = submit(issuer).headers['laburnumyard-ticket']
    with ThreadPoolExecutor() as callers:
        first = callers.submit(submit, second, ticket, WORK_MS)
        time.sleep(STARTED_S)
        trial.cluster.pause('vm-1')
        resent = [
            submit(address, ticket, WORK_MS)
            for address in (second, third) * RESENDS
        ]
        trial.cluster.resume('vm-1')
        first.result()
    seen = {answer.headers['laburnumyard-ran'] for answer in resent}
    assert_that(seen <= {'ran', 'unknown'}, Is(True))
    trial.wait(lambda: submit(third, ticket, WORK_MS).status == 200)
    assert_that(count_runs(trial, ticket), Equals(1))
    trial.wait_served('orders')
    assert_intact(trial, least_whole=0)


@pytest.mark.cell(step='send', fault='kill')
def test_whole_data_centre_is_served_by_the_others(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(6))
    time.sleep(1)
    for target in trial.cluster.places.targets:
        if target.data_centre == 'lima-a':
            trial.kill_target(target.name)
    trial.cluster.kill('vm-1')
    trial.wait_served('catalogue', 'orders', through=('vm-2', 'vm-3'))
    assert_intact(trial)
