import os
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not


def test_daemon_is_one_process_without_io_uring(trial):
    trial.wait_served('catalogue', 'orders')
    for daemon in trial.cluster.places.daemons:
        pid = trial.cluster.processes[daemon.name].pid
        folder = Path(f'/proc/{pid}')
        files = [os.readlink(each) for each in (folder / 'fd').iterdir()]
        children = (folder / 'task' / str(pid) / 'children').read_text()
        assert_that(str(files), Not(Contains('io_uring')))
        assert_that(children, Equals(''))
        assert_that(len(list((folder / 'task').iterdir())), Equals(1))
