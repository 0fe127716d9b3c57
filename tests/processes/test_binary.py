import subprocess
from pathlib import Path

import psutil
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from standins.cluster import Cluster, ClusterPlan, ServiceShape, running

BINARY = Path(__file__).resolve().parent.parent.parent / 'dist/laburnumyard'
PLAN = ClusterPlan(services=(ServiceShape('catalogue', 2),), daemons=2)


@pytest.fixture
def unpacked(tmp_path, monkeypatch):
    """Let the binary unpack to a folder of its own, without this tree."""
    monkeypatch.setenv('SHIV_ROOT', str(tmp_path / 'unpacked'))
    monkeypatch.delenv('PYTHONPATH', raising=False)
    return tmp_path


def test_binary_explains_itself_outside_the_tree(unpacked):
    done = subprocess.run(
        (str(BINARY), 'explain', 'no-owner'),
        cwd=unpacked,
        capture_output=True,
        text=True,
    )
    assert_that(done.returncode, Equals(0))
    assert_that(done.stdout, Contains('no-owner'))


def test_daemons_of_the_binary_serve_as_one_process_each(
    unpacked,
    monkeypatch,
):
    # The stand-ins are not in the binary.
    monkeypatch.setenv('PYTHONPATH', 'src:.')
    cluster = Cluster(PLAN, unpacked, program=(str(BINARY),))
    with running(cluster):
        for place in cluster.places.daemons:
            process = psutil.Process(cluster.processes[place.name].pid)
            assert_that(process.children(), HasLength(0))
            assert_that(process.num_threads(), Equals(1))
            assert_that(cluster.terminate(place.name), Equals(0))
