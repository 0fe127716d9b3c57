import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.cli import ExitCode

STATUS_BODY = (
    b'{"daemon": "vm-1", "targets": [{"name": "a", "draining": false}]}'
)


class FakeDaemon(BaseHTTPRequestHandler):
    """Returns the response that the test has set on the server."""

    def do_GET(self):
        self.answer(b'')

    def do_POST(self):
        self.answer(self.rfile.read(int(self.headers['content-length'])))

    def answer(self, body):
        token = self.headers.get('authorization')
        self.server.last_request = (self.path, token, body)
        status, content, content_length = self.server.answer
        self.send_response(status)
        self.send_header('content-length', str(content_length))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, *parts):
        """Suppress the request log."""


@pytest.fixture
def daemon():
    with HTTPServer(('127.0.0.1', 0), FakeDaemon) as server:
        server.answer = (200, STATUS_BODY, len(STATUS_BODY))
        server.address = f'127.0.0.1:{server.server_port}'
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield server
        server.shutdown()
        thread.join()


def test_status_is_shown_field_by_field(run, daemon):
    outcome = run('status', f'--admin={daemon.address}')
    assert_that(outcome.code, Equals(ExitCode.OK))
    expected = 'daemon: vm-1\ntargets:\n  - name=a, draining=false\n'
    assert_that(outcome.stdout, Equals(expected))


def test_owner_sends_the_key_as_it_is_written(run, daemon):
    run('owner', 'catalogue', '007 &b', '--admin', daemon.address, '--json')
    path = '/owner?service=catalogue&key=007+%26b'
    assert_that(daemon.last_request, Equals((path, 'Bearer secret', b'')))


@pytest.mark.parametrize(
    'arguments, path, change',
    [
        (
            ('move', 'orders', '17', 'orders-2'),
            '/move',
            {'service': 'orders', 'key': '17', 'target': 'orders-2'},
        ),
        (('drain', 'orders-2'), '/drain', {'target': 'orders-2'}),
        (('undrain', 'orders-2'), '/undrain', {'target': 'orders-2'}),
    ],
)
def test_changes_carry_the_token(run, daemon, arguments, path, change):
    outcome = run(*arguments, '--admin', daemon.address)
    assert_that(outcome.code, Equals(ExitCode.OK))
    assert_that(daemon.last_request[:2], Equals((path, 'Bearer secret')))
    assert_that(json.loads(daemon.last_request[2]), Equals(change))


@pytest.mark.parametrize(
    'command, status, code',
    [
        ('status', 503, ExitCode.UNREACHABLE),
        ('status', 500, ExitCode.UNREACHABLE),
        ('drain x', 401, ExitCode.REFUSED),
        ('drain x', 409, ExitCode.CONFLICT),
        ('drain x', 503, ExitCode.UNREACHABLE),
        ('drain x', 504, ExitCode.UNKNOWN_OUTCOME),
    ],
)
def test_refusals(run, daemon, command, status, code):
    body = b'{"detail": "why"}'
    daemon.answer = (status, body, len(body))
    outcome = run(*command.split(), f'--admin={daemon.address}')
    assert_that(outcome.code, Equals(code))
    assert_that(outcome.stderr, Contains('why'))


@pytest.mark.parametrize(
    'answer', [(200, b'{', 1), (200, b'[]', 2), (200, b'{', 9)]
)
def test_an_answer_that_is_not_whole(run, daemon, answer):
    daemon.answer = answer
    read = run('status', '--admin', daemon.address)
    assert_that(read.code, Equals(ExitCode.UNREACHABLE))
    change = run('drain', 'x', '--admin', daemon.address)
    assert_that(change.code, Equals(ExitCode.UNKNOWN_OUTCOME))


def test_no_daemon_at_the_address(run):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
    outcome = run('drain', 'x', f'--admin=127.0.0.1:{port}')
    assert_that(outcome.code, Equals(ExitCode.UNREACHABLE))


EXPLAINED = {
    'gateway': 'edge-1',
    'parts': [
        {
            'service': 'catalogue',
            'verdict': 'refused',
            'refusal': 'no-owner',
            'retry_after_s': 0.25,
            'candidates': [{'target': 'i-1', 'admission': 'paused'}],
        },
    ],
}


def test_a_gateway_explains_a_request(run, daemon):
    body = json.dumps(EXPLAINED).encode()
    daemon.answer = (200, body, len(body))
    arguments = ('--url=http://shop.example/benches/17', '--key=007')
    outcome = run('explain', *arguments, f'--gateway={daemon.address}')
    path = '/explain?host=shop.example&path=%2Fbenches%2F17&format=json&key=007'
    # The metrics address takes no token, so none is sent.
    assert_that(daemon.last_request, Equals((path, None, b'')))
    assert_that(
        outcome.stdout.splitlines(),
        Equals(
            [
                'gateway=edge-1',
                'service catalogue: refused, no-owner, retry after 0.25',
                '  service=catalogue verdict=refused refusal=no-owner '
                'retry_after_s=0.25',
                '  - target=i-1 admission=paused',
            ]
        ),
    )
    outcome = run(
        'explain', *arguments, f'--gateway={daemon.address}', '--json'
    )
    assert_that(outcome.json, Equals({'outcome': 'ok', **EXPLAINED}))


def test_a_gateway_that_is_away_is_named(run):
    outcome = run('explain', '--url=a/b', '--gateway=127.0.0.1:1')
    assert_that(outcome.code, Equals(ExitCode.UNREACHABLE))
    assert_that(outcome.stderr, Contains('check --gateway'))
