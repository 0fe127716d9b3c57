"""Sessions of gateways with and without roles."""

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.gateway._cluster_view import Member
from laburnumyard.gateway._platform_interface import (
    NO_SESSION,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_session import Session
from laburnumyard.schema._generated.gateway import GatewayStore

pytestmark = pytest.mark.anyio
SESSION_S = 1.0


class SessionStore:
    def __init__(self):
        self.calls = []
        self.fault = None

    async def open_session(self, ttl_s):
        self.calls.append('open')
        return Error(self.fault) if self.fault else Ok(7)

    async def renew_session(self, session):
        self.calls.append('renew')
        return Error(self.fault) if self.fault else Ok(None)


@pytest.fixture
def store():
    return SessionStore()


@pytest.fixture
def session(store):
    settings = GatewayStore(address='127.0.0.1:1', session_s=SESSION_S)
    return Session(store, StoreHealth(), settings, Member('a', 'b:1', 1))


async def run_for(session, seconds):
    with anyio.move_on_after(seconds):
        await session.run()


async def test_a_gateway_without_roles_makes_no_call(store, session):
    await run_for(session, 0.8)
    assert_that(store.calls, Equals([]))


async def test_a_session_is_renewed_while_it_is_needed(store, session):
    assert_that(await session.acquire(), Is(True))
    await run_for(session, 0.8)
    assert_that(store.calls, Equals(['open', 'renew', 'renew']))
    assert_that(session.is_fresh, Is(True))


async def test_a_session_without_a_role_is_left_to_lapse(store, session):
    session.is_needed = bool
    await session.acquire()
    await run_for(session, 2 * SESSION_S)
    assert_that(session.session_id, Equals(NO_SESSION))
    assert_that(set(store.calls[1:]), Equals({'renew'}))
    made = len(store.calls)
    await run_for(session, SESSION_S)
    assert_that(len(store.calls), Equals(made))


async def test_a_session_is_kept_while_a_role_is_being_claimed(store, session):
    """The claim may be on its way when the renewal is due."""
    session.is_needed = bool
    await session.acquire()
    await run_for(session, 0.6)
    await session.acquire()
    await run_for(session, 0.8)
    assert_that(session.is_fresh, Is(True))


async def test_an_ended_session_is_not_fresh(store, session):
    await session.acquire()
    store.fault = StoreError(StoreFault.SESSION_ENDED)
    await run_for(session, 0.5)
    assert_that(session.is_fresh, Is(False))


async def test_a_lost_store_gives_no_session(store, session):
    store.fault = StoreError(StoreFault.TIMEOUT)
    assert_that(await session.acquire(), Is(False))
    assert_that(session.health.is_lost, Is(True))
