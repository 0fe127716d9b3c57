"""Poison requests and silent connections, as seen by the targets."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.core import requests

NEVER = float('inf')
POISON = requests.fingerprint_of('orders', 'POST', '/orders/x', 'k', b'{}')


def deaths_by_resends(daemon_count, quarantine_class=requests.Quarantine):
    """Send a poison request repeatedly through every daemon in turn."""
    daemons = [quarantine_class() for _ in range(daemon_count)]
    deaths = 0
    for resend in range(daemon_count * 5):
        now = float(resend)
        daemon = daemons[resend % daemon_count]
        if daemon.refusal(POISON, now) is None:
            deaths += 1
            death = f'orders-{resend}@{now}'
            suspects = daemon.note_death(death, [POISON], now)
            for peer in daemons:
                peer.merge(suspects, now)
    return deaths


@pytest.mark.cell(step='send', fault='poison-request')
@pytest.mark.cell(step='retry', fault='poison-request')
def test_poison_request_kills_two_targets_and_no_more():
    assert_that(deaths_by_resends(daemon_count=9), Equals(2))


class UnsharedQuarantine(requests.Quarantine):
    """Ignores its peers."""

    def merge(self, suspects, now):
        """Ignore the suspects of peers."""


def test_check_catches_a_quarantine_that_is_not_shared():
    deaths = deaths_by_resends(9, UnsharedQuarantine)
    assert_that(deaths, GreaterThan(2))


class Target:
    """Closes idle connections; at `silent_at` the open ones go silent."""

    keep_alive = 0.5

    def __init__(self, silent_at):
        self.silent_at = silent_at
        self.received = 0

    def answers(self, connection, now):
        """Receive a request, unless its connection is dead."""
        if now - connection.last_answer > self.keep_alive:
            return False
        if connection.opened < self.silent_at <= now:
            return False
        self.received += 1
        return True


def lost_requests(seed, *, repeatable, silent_at=NEVER):
    """Count the requests lost on dead connections."""
    random = Random(seed)
    policy = requests.ConnectionPolicy()
    target = Target(silent_at)
    idle = []
    now = 0
    lost = 0
    for number in range(2000):
        now += random.choice((0.001, 0.05, 0.3, 0.7, 1.5))
        choice = policy.choose(idle, repeatable, now)
        idle = [each for each in idle if each.connection_id not in choice.close]
        connection = next(
            (each for each in idle if each.connection_id == choice.reuse),
            requests.Connection(number, now, now),
        )
        idle = [each for each in idle if each is not connection]
        if target.answers(connection, now):
            if policy.on_answer(connection, is_whole=True, now=now):
                idle.append(connection)
        else:
            lost += 1
            policy.on_timeout(connection, sent=now)
    return lost


@pytest.mark.parametrize('seed', range(5))
def test_stale_connection_loses_no_unrepeatable_request(seed):
    assert_that(lost_requests(seed, repeatable=False), Equals(0))


def test_check_catches_a_loose_idle_limit(monkeypatch):
    module = 'laburnumyard.core.requests._connections'
    monkeypatch.setattr(f'{module}.UNREPEATABLE_IDLE_LIMIT_S', 2)
    lost = lost_requests(1, repeatable=False)
    assert_that(lost, GreaterThan(0))


@pytest.mark.cell(step='send', fault='silent-connection')
@pytest.mark.parametrize('seed', range(5))
def test_silent_connections_are_found_and_replaced(seed):
    # One request may detect the silence; the others use new connections.
    lost = lost_requests(seed, repeatable=False, silent_at=100)
    assert_that(lost, LessThan(2))
