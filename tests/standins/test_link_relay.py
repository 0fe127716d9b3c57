import socket
import threading
from contextlib import closing

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from standins._serve import parse_address
from standins.link_relay import Direction, LinkRelays

GENEROUS_S = 20
SHORT_S = 0.2
TO_SECOND = Direction('vm-1', 'vm-2')


@pytest.fixture
def listener():
    with closing(socket.create_server(('127.0.0.1', 0))) as server:
        yield server


@pytest.fixture
def relays(listener):
    host, port = listener.getsockname()
    built = LinkRelays({'vm-1': '127.0.0.1:9', 'vm-2': f'{host}:{port}'})
    built.start()
    yield built
    built.stop()


@pytest.fixture
def link(relays, listener):
    """Return the two ends of a link from the first to the second daemon."""
    accepted = []
    thread = threading.Thread(target=lambda: accepted.append(listener.accept()))
    thread.start()
    address = next(iter(relays.addresses_for('vm-1').values()))
    near = socket.create_connection(parse_address(address), GENEROUS_S)
    thread.join()
    far, _ = accepted[0]
    far.settimeout(GENEROUS_S)
    with closing(near), closing(far):
        yield near, far


def is_silent(end):
    end.settimeout(SHORT_S)
    try:
        end.recv(1)
    except TimeoutError:
        return True
    finally:
        end.settimeout(GENEROUS_S)
    return False


def test_relay_passes_bytes_both_ways(link):
    near, far = link
    near.sendall(b'ping')
    assert_that(far.recv(9), Equals(b'ping'))
    far.sendall(b'pong')
    assert_that(near.recv(9), Equals(b'pong'))


def test_one_way_cut_holds_bytes_until_it_is_healed(relays, link):
    near, far = link
    relays.cut([TO_SECOND])
    near.sendall(b'late')
    far.sendall(b'pong')
    assert_that(near.recv(9), Equals(b'pong'))
    assert_that(is_silent(far), Equals(True))
    relays.heal()
    assert_that(far.recv(9), Equals(b'late'))


def test_cut_hides_a_close(relays, link):
    near, far = link
    relays.cut([TO_SECOND, TO_SECOND.back])
    near.close()
    assert_that(is_silent(far), Equals(True))
    relays.heal()
    assert_that(far.recv(1), Equals(b''))
