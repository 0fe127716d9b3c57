"""Feeds events to one scope's lease manager and executes its effects."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clocks import boot_time, random_fraction
from laburnumyard.core import ownership
from laburnumyard.core.ids import TargetName
from laburnumyard.daemon._assignment_store import AssignmentStore
from laburnumyard.daemon._lease_orders import LeaseOrderSender
from laburnumyard.daemon._scope_id import ScopeId
from laburnumyard.telemetry._log import Event, log_event

# Lower bound on the delay of the next tick that the manager asks for.
MIN_TICK_DELAY_S = 0.005
READ_RETRY_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class ScopeDependencies:
    """Dependencies used to execute a scope's effects.

    Parameters
    ----------
    store
        Reads and writes the service's assignment.
    orders
        Sends seals, grants and renewals.
    publish
        Distributes an acknowledged assignment.
    offer_handover
        Asks another daemon to take over the scope.
    tasks
        Task group for calls.
    """

    store: AssignmentStore
    orders: LeaseOrderSender
    publish: Callable[[ownership.Snapshot], None]
    offer_handover: Callable[[ScopeId], None]
    tasks: TaskGroup


class ScopeRunner:
    """Feeds one lease manager and executes its effects.

    Parameters
    ----------
    scope
        The manager's service and data centre.
    manager
        The state machine that decides.
    dependencies
        Used to execute effects.
    """

    def __init__(
        self,
        scope: ScopeId,
        manager: ownership.LeaseManager,
        dependencies: ScopeDependencies,
    ) -> None:
        """Initialise with no tick scheduled."""
        self.scope = scope
        self.manager = manager
        self.dependencies = dependencies
        self.timer: asyncio.TimerHandle | None = None

    def feed(self, event: ownership.Event) -> None:
        """Pass an event to the manager and execute its effects."""
        for effect in self.manager.handle(event, boot_time()):
            self.carry_out(effect)
        self._schedule_tick()

    def poll_guarded(self) -> None:
        """Ask the targets that receive no grants whether they are leaving."""
        for lease in self.manager.state.leases.values():
            if ownership.needs_guard(lease.kind):
                ask = self.dependencies.orders.poll_leaving
                self.dependencies.tasks.start_soon(ask, lease.name)

    def report_gone_targets(self, gone: Collection[TargetName]) -> None:
        """Report targets whose VMs are no longer on the platform's list.

        A target that has answered this manager has not stopped, whatever the
        list says; its lease expires once it no longer answers.
        """
        for lease in tuple(self.manager.state.leases.values()):
            if lease.name in gone and not lease.sealed:
                self.feed(ownership.TargetGone(lease.name))

    def stop(self) -> None:
        """Cancel the scheduled tick."""
        if self.timer is not None:
            self.timer.cancel()

    def _schedule_tick(self) -> None:
        self.stop()
        if self.manager.is_idle:
            return
        now = boot_time()
        delay = max(MIN_TICK_DELAY_S, self.manager.wake_at(now) - now)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay, self.feed, ownership.Tick())

    @singledispatchmethod
    def carry_out(self, effect: ownership.Effect) -> None:
        """Execute one effect of the manager."""
        raise TypeError(f'no handler for effect {effect!r}; register one')

    @carry_out.register
    def _read_head(self, effect: ownership.ReadHead) -> None:
        self.dependencies.tasks.start_soon(self._read)

    @carry_out.register
    def _prepare_chunks(self, effect: ownership.PrepareChunks) -> None:
        write = self.dependencies.store.writer.write_all
        self.dependencies.tasks.start_soon(
            write, effect.chunks, effect.revision
        )

    @carry_out.register
    def _swap_head(self, effect: ownership.SwapHead) -> None:
        self.dependencies.tasks.start_soon(self._swap, effect)

    @carry_out.register
    def _seal(self, effect: ownership.SendSeal) -> None:
        self._send(self.dependencies.orders.seal, effect)

    @carry_out.register
    def _grant(self, effect: ownership.SendGrant) -> None:
        self._send(self.dependencies.orders.grant, effect)

    @carry_out.register
    def _renew(self, effect: ownership.SendRenew) -> None:
        self._send(self.dependencies.orders.renew, effect)

    @carry_out.register
    def _changed(self, effect: ownership.AssignmentChanged) -> None:
        self.dependencies.publish(effect.snapshot)

    @carry_out.register
    def _offer(self, effect: ownership.OfferScope) -> None:
        self.dependencies.offer_handover(self.scope)

    @carry_out.register
    def _log(self, effect: ownership.LogDecision) -> None:
        pairs = {detail.key: detail.text for detail in effect.details}
        pairs.setdefault('scope', str(self.scope))
        log_event(Event.PLACED, action=effect.action, **pairs)

    async def _read(self) -> None:
        reading = await self.dependencies.store.read()
        found = reading.found
        if found.is_ok():
            self.feed(ownership.HeadRead(found.ok, reading.asked_at))
            return
        log_event(
            Event.STORE, 'WARNING', scope=self.scope, unreadable=found.error
        )
        # Jitter: simultaneous retries of many scopes exceed the call budget.
        await anyio.sleep(READ_RETRY_DELAY_S * (1 + random_fraction()))
        self.feed(ownership.HeadUnreadable())

    async def _swap(self, effect: ownership.SwapHead) -> None:
        self.feed(await self.dependencies.store.swap(effect))

    def _send(
        self,
        send: Callable[..., Awaitable[ownership.TargetAnswer | None]],
        effect: object,
    ) -> None:
        self.dependencies.tasks.start_soon(self._call, send, effect)

    async def _call(
        self,
        send: Callable[..., Awaitable[ownership.TargetAnswer | None]],
        effect: ownership.SendSeal | ownership.SendGrant | ownership.SendRenew,
    ) -> None:
        if boot_time() > effect.not_after:
            return
        answer = await send(effect)
        if answer is not None:
            self.feed(answer)
