import json
import os
import socket
import subprocess
import sys
import time
from contextlib import closing, contextmanager
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

ROOT = Path(__file__).parents[2]
POLLS = 400
POLL_S = 0.05
SERVERS = (
    ('standins.platform',),
    ('standins.target', '--name', 'c1', '--service', 'x', '--fencing', 'none'),
)


def find_free_address():
    with closing(socket.create_server(('127.0.0.1', 0))) as probe:
        port = probe.getsockname()[1]
    return f'127.0.0.1:{port}'


def wait_listening(address):
    host, port = address.split(':')
    for _ in range(POLLS):
        try:
            return socket.create_connection((host, int(port))).close()
        except ConnectionRefusedError:
            time.sleep(POLL_S)
    return pytest.fail(f'nothing listens on {address}')


def build_command(module, *options):
    return [sys.executable, '-m', module, *options]


@contextmanager
def running(address, command):
    environment = os.environ | {'PYTHONPATH': f'{ROOT}/src'}
    process = subprocess.Popen(command, cwd=ROOT, env=environment)
    try:
        wait_listening(address)
        yield process.pid
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize('server', SERVERS)
def test_server_is_one_process_without_io_uring(server):
    address = find_free_address()
    command = build_command(*server, '--listen', address)
    with running(address, command) as pid:
        descriptors = Path(f'/proc/{pid}/fd').iterdir()
        files = [os.readlink(descriptor) for descriptor in descriptors]
        children = Path(f'/proc/{pid}/task/{pid}/children').read_text()
    assert_that(str(files), Not(Contains('io_uring')))
    assert_that(children, Equals(''))


def test_load_prints_one_figure_a_line(tmp_path):
    address = find_free_address()
    classes = tmp_path / 'classes.json'
    row = {'name': 'readers', 'count': 20, 'connections': 2}
    classes.write_text(json.dumps([row]))
    target = build_command(*SERVERS[1], '--listen', address)
    load = build_command('standins.load', address, '--classes', str(classes))
    with running(address, target):
        printed = subprocess.run(
            load,
            cwd=ROOT,
            env=os.environ | {'PYTHONPATH': f'{ROOT}/src'},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
    figures = dict(line.split('=') for line in printed.splitlines())
    assert_that(figures['readers.whole'], Equals('20'))
    assert_that(figures, HasLength(11))
