import sys
from contextlib import closing
from http.client import HTTPConnection
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from standins.cluster import Cluster, ClusterPlan, ServiceShape, running
from standins.load import CallerClass
from standins.observer import read_journals
from standins.relayed_cluster import RelayedCluster
from standins.trial import Trial

CALL_TIMEOUT_S = 6
ROOT = Path(__file__).parents[2]
PLAN = ClusterPlan(
    services=(ServiceShape('catalogue', 4), ServiceShape('orders', 3)),
)


@pytest.fixture(autouse=True)
def python_path(monkeypatch):
    monkeypatch.setenv('PYTHONPATH', f'{ROOT}/src')


@pytest.fixture
def cluster(tmp_path):
    """Return a deployment of which nothing is started yet."""
    built = Cluster(PLAN, tmp_path)
    yield built
    built.stop()


@pytest.fixture
def trial(tmp_path):
    with running(Cluster(PLAN, tmp_path)) as cluster:
        yield Trial(cluster)


@pytest.fixture
def relayed_trial(tmp_path):
    with running(RelayedCluster(PLAN, tmp_path)) as cluster:
        yield Trial(cluster)


@pytest.fixture
def mixed_load():
    def build(duration_s):
        return (
            CallerClass(
                name='catalogue',
                connections=12,
                rate=120,
                duration_s=duration_s,
                keys=40,
            ),
            CallerClass(
                name='orders',
                path='/orders/confirm',
                method='POST',
                connections=9,
                rate=30,
                duration_s=duration_s,
                keys=30,
                body_bytes=200,
                tickets=True,
            ),
        )

    return build


@pytest.fixture
def assert_intact():
    """Return a check that no invariant was seen to break."""

    def check(trial, least_whole=50):
        findings = trial.find()
        for name, verdict in findings.verdicts.items():
            sys.stdout.write(f'{name}: {verdict}\n')
        assert_that(list(findings.problems()), Equals([]))
        whole = sum(each.whole for each in findings.verdicts.values())
        assert_that(whole >= least_whole, Equals(True))
        return findings

    return check


@pytest.fixture
def submit():
    """Return a function that sends one order; it gives status and headers."""

    def send(address, ticket='', work_ms=1):
        headers = {
            'laburnumyard-key': 'bus terminal',
            'laburnumyard-deadline-ms': '4000',
            'laburnumyard-repeatable': 'no',
        }
        if ticket:
            headers['laburnumyard-ticket'] = ticket
        path = f'/orders/confirm?echo=order&work_ms={work_ms}'
        connection = HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        with closing(connection):
            connection.request('POST', path, b'seats', headers)
            answer = connection.getresponse()
            answer.read()
        return answer

    return send


@pytest.fixture
def count_runs():
    """Return a function that counts a ticket's executions at all targets."""

    def count(trial, ticket):
        targets = trial.cluster.places.targets
        journals = (trial.cluster.journal_of(each.name) for each in targets)
        runs = read_journals(journals)
        return sum(run.ticket == ticket for run in runs)

    return count
