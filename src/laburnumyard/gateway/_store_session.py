"""A gateway's store session, which its coordinator roles depend on."""

from collections.abc import Callable

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._cluster_view import Member
from laburnumyard.gateway._platform_interface import (
    NO_SESSION,
    MetadataStore,
    SessionId,
    StoreFault,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.schema._generated.gateway import GatewayStore
from laburnumyard.telemetry import Event, log_event

# Renewals per time to live of a session, so that two may be lost.
RENEWALS_IN_LIFE = 3


class Session:
    """Keeps a store session open while this gateway has roles.

    Gateways without roles have none, as each renewal is a call of the store.

    Parameters
    ----------
    store
        Metadata store.
    health
        Records the results of calls.
    settings
        Time to live of a session.
    member
        Record of this gateway.

    Attributes
    ----------
    session_id
        Current session, ``NO_SESSION`` without one.
    confirmed_at
        Send time of the last renewal that the store confirmed, in seconds.
    is_needed
        Returns whether this gateway has roles.
    """

    def __init__(
        self,
        store: MetadataStore,
        health: StoreHealth,
        settings: GatewayStore,
        member: Member,
    ) -> None:
        """Create the object without a session."""
        self.store = store
        self.health = health
        self.settings = settings
        self.member = member
        self.session_id = NO_SESSION
        self.confirmed_at = Seconds(0)
        self.is_closing = False
        self.is_needed: Callable[[], bool] = _always
        self.opened = anyio.Event()
        self.acquired_at = Seconds(0)

    @property
    def is_fresh(self) -> bool:
        """Whether the session cannot have expired yet."""
        age = boot_time() - self.confirmed_at
        return self.session_id != NO_SESSION and age < self.settings.session_s

    @property
    def fresh_until(self) -> Seconds:
        """Time until which the session cannot have expired, in seconds."""
        if self.session_id == NO_SESSION:
            return Seconds(0)
        return Seconds(self.confirmed_at + self.settings.session_s)

    async def acquire(self) -> bool:
        """Open a session if there is none; return whether one is open.

        It stays open long enough to claim a role with it.
        """
        self.acquired_at = boot_time()
        if not self.is_fresh and not self.is_closing:
            await self.open()
        return self.is_fresh

    async def run(self) -> None:
        """Renew the session while it is needed, until closed."""
        while not self.is_closing:
            if self.session_id == NO_SESSION:
                await self.opened.wait()
            else:
                await self.renew()

    async def open(self) -> None:
        """Open a session."""
        sent_at = boot_time()
        ttl_s = Seconds(self.settings.session_s)
        opened = await self.store.open_session(ttl_s)
        self.health.record_call(opened.error if opened.is_error() else None)
        if opened.is_error() or self.is_closing:
            return
        self.session_id = opened.ok
        self.confirmed_at = sent_at
        self.opened.set()
        self.opened = anyio.Event()
        log_event(Event.SESSION, state='opened', session=opened.ok)

    async def renew(self) -> None:
        """Renew the session once, or clear it if it has ended or is unused."""
        await anyio.sleep(self.settings.session_s / RENEWALS_IN_LIFE)
        if self.is_closing:
            return
        is_claiming = boot_time() - self.acquired_at < self.settings.session_s
        if not is_claiming and not self.is_needed():
            log_event(Event.SESSION, state='unused', session=self.session_id)
            self.session_id = NO_SESSION
            return
        sent_at = boot_time()
        session_id = self.session_id
        renewed = await self.store.renew_session(session_id)
        self.health.record_call(renewed.error if renewed.is_error() else None)
        if session_id != self.session_id:
            return
        if renewed.is_ok():
            self.confirmed_at = sent_at
        elif renewed.error.fault is StoreFault.SESSION_ENDED:
            log_event(
                Event.SESSION,
                'WARNING',
                state='ended',
                session=self.session_id,
                age_s=round(sent_at - self.confirmed_at, 3),
            )
            self.session_id = NO_SESSION

    def note_ended(self, session_id: SessionId) -> None:
        """Record that the store does not know a session."""
        if session_id == self.session_id:
            self.session_id = NO_SESSION

    async def close(self) -> None:
        """End the session for good, which releases this gateway's roles."""
        self.is_closing = True
        await self.end()

    async def end(self) -> None:
        """End the session, which releases this gateway's roles."""
        if self.session_id != NO_SESSION:
            session_id = self.session_id
            self.session_id = NO_SESSION
            await self.store.close_session(session_id)
            log_event(Event.SESSION, state='closed')


def _always() -> bool:
    return True
