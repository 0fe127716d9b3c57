import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from http.client import HTTPConnection

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from standins.cluster import call

SLOW_MS = 800
IN_FLIGHT = 6
STARTED_S = 0.3
CALL_TIMEOUT_S = 6


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
