from contextlib import closing
from http.client import HTTPConnection

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

POISON = '/catalogue/read?poison=1'
RESENDS = 3
CALL_TIMEOUT_S = 6
DEATHS_LIMIT = 2


def send_poison(address):
    headers = {
        'laburnumyard-key': 'bench',
        'laburnumyard-deadline-ms': '4000',
    }
    connection = HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    with closing(connection):
        connection.request('GET', POISON, headers=headers)
        answer = connection.getresponse()
        answer.read()
    return answer.status


def dead_targets(trial):
    return [
        target.name
        for target in trial.cluster.places.targets
        if trial.cluster.processes[target.name].poll() is not None
    ]


@pytest.mark.cell(step='send', fault='poison-request')
@pytest.mark.cell(step='retry', fault='poison-request')
def test_poison_request_is_refused_everywhere_after_two_deaths(
    trial,
    assert_intact,
):
    daemons = [each.callers for each in trial.cluster.places.daemons]
    for sent in range(RESENDS):
        send_poison(daemons[sent % len(daemons)])
        trial.wait_served('catalogue')
    statuses = [send_poison(address) for address in daemons]
    dead = dead_targets(trial)
    for name in dead:
        trial.note_dead_target(name)
    assert_that(len(dead), Equals(DEATHS_LIMIT))
    assert_that(set(statuses), Equals({422}))
    assert_intact(trial, least_whole=0)
