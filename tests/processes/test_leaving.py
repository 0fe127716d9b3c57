import json
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from http.client import HTTPConnection

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from standins._target_state import read_clock_ms
from standins.cluster import (
    Cluster,
    ClusterPlan,
    ServiceShape,
    call,
    running,
)
from standins.load import CallerClass
from standins.observer import read_journals
from standins.trial import Trial

SLOW_MS = 800
IN_FLIGHT = 6
STARTED_S = 0.3
CALL_TIMEOUT_S = 6
LEAVING_TARGETS = ('catalogue-2', 'orders-2')
NO_NEW_WORK_MS = 3000
# The daemons read a list of ten VMs at least this often, in milliseconds.
LIST_INTERVAL_MS = 2800


def read_slowly(address, number):
    connection = HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    headers = {
        'laburnumyard-key': f'key-{number}',
        'laburnumyard-deadline-ms': '5000',
    }
    with closing(connection):
        path = f'/catalogue/read?echo=slow-{number}&work_ms={SLOW_MS}'
        connection.request('GET', path, headers=headers)
        answer = connection.getresponse()
        body = answer.read()
    return answer.status, body.endswith(b'end=slow-%d' % number)


def test_daemon_that_leaves_under_load_cuts_off_no_request(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(6))
    time.sleep(1)
    leaving = trial.daemon_place('vm-1')
    with ThreadPoolExecutor(IN_FLIGHT) as callers:
        answers = [
            callers.submit(read_slowly, leaving.callers, number)
            for number in range(IN_FLIGHT)
        ]
        time.sleep(STARTED_S)
        exit_code = trial.cluster.terminate('vm-1')
    assert_that(exit_code, Equals(0))
    assert_that(
        {each.result() for each in answers},
        Equals({(200, True)}),
    )
    trial.wait_served('catalogue', 'orders', through=('vm-2', 'vm-3'))
    findings = assert_intact(trial)
    unknown = sum(each.unknown for each in findings.verdicts.values())
    assert_that(unknown, Equals(0))


@pytest.mark.cell(step='leave', fault='store-down')
def test_daemon_without_configuration_leaves_at_once(cluster):
    cluster.start_platform()
    store = cluster.places.store
    call(store, 'POST', '/stand-in/faults', {'down': True})
    for daemon in cluster.places.daemons:
        cluster.start_daemon(daemon.name)
        cluster.wait_answering(daemon.admin, '/health')
    codes = [
        cluster.terminate(daemon.name) for daemon in cluster.places.daemons
    ]
    assert_that(set(codes), Equals({0}))


@pytest.fixture
def forge(tmp_path):
    """Return a deployment whose targets check no grants."""
    shape = ServiceShape('forge', 3, fencing='none')
    with running(Cluster(ClusterPlan(services=(shape,)), tmp_path)) as cluster:
        yield Trial(cluster)


def assert_left(trial, assert_intact, names, deadline_ms):
    """Check that targets got no late work and that callers missed nothing."""
    trial.join()
    for name in names:
        runs = read_journals([trial.cluster.journal_of(name)])
        late = [run for run in runs if run.start_ms > deadline_ms]
        assert_that((len(runs) > 0, late), Equals((True, [])))
    findings = assert_intact(trial)
    lost = sum(
        verdict.sent - verdict.whole for verdict in findings.verdicts.values()
    )
    assert_that(lost, Equals(0))


def make_leave(trial, names):
    """Tell targets to leave; return from when on they get no new work."""
    told_ms = read_clock_ms()
    for name in names:
        trial.cluster.processes[name].terminate()
    time.sleep(NO_NEW_WORK_MS / 1000)
    for name in names:
        trial.grants.read(name)
    for name in names:
        code = trial.cluster.processes[name].wait(CALL_TIMEOUT_S)
        trial.grants.note_end(name)
        assert_that(code, Equals(0))
    return told_ms + NO_NEW_WORK_MS


def withdrawn(trial):
    """Return the targets that the store's heads give no further ranges."""
    store = trial.cluster.places.store
    keys = [f'assignment/{name}/head' for name in ('catalogue', 'orders')]
    heads = [call(store, 'GET', f'/v1/keys/{key}')[1] for key in keys]
    return {name for head in heads for name in json.loads(head)['withdrawn']}


def test_target_that_says_it_leaves_gets_no_new_work_until_it_returns(
    trial,
    mixed_load,
    assert_intact,
):
    trial.send(*mixed_load(8))
    time.sleep(1)
    deadline_ms = make_leave(trial, LEAVING_TARGETS)
    trial.wait_served('catalogue', 'orders')
    assert_left(trial, assert_intact, LEAVING_TARGETS, deadline_ms)
    assert_that(withdrawn(trial), Equals(set(LEAVING_TARGETS)))
    for name in LEAVING_TARGETS:
        trial.cluster.start_target(name)
    trial.wait(lambda: not withdrawn(trial))


def test_target_without_fencing_that_says_it_leaves_gets_no_new_work(
    forge,
    assert_intact,
):
    callers = CallerClass(
        name='forge',
        path='/forge/book',
        connections=8,
        rate=100,
        duration_s=8,
        keys=40,
    )
    forge.send(callers)
    time.sleep(1)
    deadline_ms = make_leave(forge, ('forge-2',))
    forge.wait_served('forge')
    assert_left(forge, assert_intact, ('forge-2',), deadline_ms)


def test_target_that_the_list_calls_leaving_gets_no_new_work(
    trial,
    mixed_load,
    assert_intact,
):
    store = trial.cluster.places.store
    listed = json.loads(call(store, 'GET', '/v1/vms')[1])
    for row in listed:
        if row['name'] in LEAVING_TARGETS:
            row['state'] = 'leaving'
    trial.send(*mixed_load(9))
    time.sleep(1)
    call(store, 'POST', '/stand-in/vms', listed)
    deadline_ms = read_clock_ms() + LIST_INTERVAL_MS + NO_NEW_WORK_MS
    assert_left(trial, assert_intact, LEAVING_TARGETS, deadline_ms)
    trial.wait_served('catalogue', 'orders')
