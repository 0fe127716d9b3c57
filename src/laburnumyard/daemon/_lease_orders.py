"""Sends seals, grants and renewals to targets or to their guards."""

from collections.abc import Callable
from typing import Any

from expression import Result

from laburnumyard.clients import (
    GrantOrder,
    RenewOrder,
    SealOrder,
    TargetControl,
)
from laburnumyard.clients import TargetAnswer as ControlAnswer
from laburnumyard.core import ownership
from laburnumyard.core.ids import Sequence, ServiceName, TargetName, Term
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._guards import Guards
from laburnumyard.schema._generated.messages import (
    GuardAnswer,
    GuardGrant,
    GuardSeal,
    OwnedRange,
)
from laburnumyard.wire import LinkPool

# An unanswered order is dropped after this time; the manager sends its next.
ORDER_TIMEOUT_S = 0.5

SendEffect = ownership.SendSeal | ownership.SendGrant | ownership.SendRenew


class LeaseOrderSender:
    """Sends the lease orders of one service's managers.

    Parameters
    ----------
    service
        The service.
    view
        Provides the addresses of targets and daemons.
    guards
        The grants that this daemon itself guards.
    pool
        The links to other daemons.
    on_leaving_answer
        Called with whether a target reports to be leaving, None if unknown.
    """

    def __init__(
        self,
        service: ServiceName,
        view: ClusterView,
        guards: Guards,
        pool: LinkPool,
        on_leaving_answer: Callable[[TargetName, bool | None], None],
    ) -> None:
        """Initialise with no connection."""
        self.service = service
        self.view = view
        self.guards = guards
        self.pool = pool
        self.on_leaving_answer = on_leaving_answer
        self.controls: dict[TargetName, TargetControl] = {}

    async def seal(
        self,
        effect: ownership.SendSeal,
    ) -> ownership.TargetAnswer | None:
        """Send a seal; return the answer, or None if none came."""
        if effect.guard is not None:
            message = GuardSeal(0, self.service, effect.target, effect.term)
            return await self._send_to_guard(effect, message)
        order = SealOrder(self.service, effect.term)
        control = self._control(effect.target)
        return await self._send_to_target(
            effect, control and control.seal, order
        )

    async def grant(
        self,
        effect: ownership.SendGrant,
    ) -> ownership.TargetAnswer | None:
        """Send a grant; return the answer, or None if none came."""
        if effect.guard is not None:
            owned = tuple(map(ownership.owned_range, effect.ranges))
            return await self._send_to_guard(
                effect, self._guard_grant(effect, owned, replaces=True)
            )
        order = GrantOrder(
            self.service,
            effect.term,
            effect.sequence,
            effect.clock_ms,
            effect.lifetime_ms,
            effect.ranges,
        )
        control = self._control(effect.target)
        return await self._send_to_target(
            effect, control and control.grant, order
        )

    async def renew(
        self,
        effect: ownership.SendRenew,
    ) -> ownership.TargetAnswer | None:
        """Send a renewal; return the answer, or None if none came."""
        if effect.guard is not None:
            return await self._send_to_guard(
                effect, self._guard_grant(effect, (), replaces=False)
            )
        order = RenewOrder(
            self.service,
            effect.term,
            effect.sequence,
            effect.clock_ms,
            effect.lifetime_ms,
        )
        control = self._control(effect.target)
        return await self._send_to_target(
            effect, control and control.renew, order
        )

    async def poll_leaving(self, target: TargetName) -> None:
        """Ask a target that receives no grants whether it is leaving."""
        control = self._control(target)
        if control is not None:
            answered = await control.health(ORDER_TIMEOUT_S)
            if answered.is_ok():
                self.on_leaving_answer(target, answered.ok.leaving)

    def close(self) -> None:
        """Close the connections to targets."""
        for control in self.controls.values():
            control.close()

    def _control(self, name: TargetName) -> TargetControl | None:
        target = self.view.configuration.targets.get(name)
        if target is None:
            return None
        control = self.controls.get(name)
        if control is None or control.address != target.address:
            control = TargetControl(target.address)
            self.controls[name] = control
        return control

    def _guard_grant(
        self,
        effect: ownership.SendGrant | ownership.SendRenew,
        owned: tuple[OwnedRange, ...],
        *,
        replaces: bool,
    ) -> GuardGrant:
        return GuardGrant(
            number=0,
            service=self.service,
            target=effect.target,
            term=effect.term,
            sequence=effect.sequence,
            clock_ms=effect.clock_ms,
            lifetime_ms=effect.lifetime_ms,
            ranges=owned,
            replaces=replaces,
        )

    async def _send_to_target(
        self,
        effect: SendEffect,
        call: Any,
        order: SealOrder | RenewOrder,
    ) -> ownership.TargetAnswer | None:
        if call is None:
            return None
        answered: Result[ControlAnswer, Any]
        answered = await call(order, ORDER_TIMEOUT_S)
        if answered.is_error():
            return None
        self.on_leaving_answer(effect.target, answered.ok.leaving)
        return _from_target(effect, answered.ok)

    async def _send_to_guard(
        self,
        effect: SendEffect,
        message: GuardSeal | GuardGrant,
    ) -> ownership.TargetAnswer | None:
        if effect.guard == self.view.name:
            return _from_guard(effect, self.guards.answer(message))
        peer = self.view.peer(effect.guard)
        if peer is None:
            return None
        answer = await self.pool.request(peer, message, ORDER_TIMEOUT_S)
        if answer.is_error() or not isinstance(answer.ok, GuardAnswer):
            return None
        return _from_guard(effect, answer.ok)


def _from_target(
    effect: SendEffect,
    found: ControlAnswer,
) -> ownership.TargetAnswer:
    return ownership.TargetAnswer(
        target=effect.target,
        call=effect.call,
        accepted=found.accepted,
        term=found.term,
        sequence=found.sequence,
        clock_ms=found.clock_ms,
        ranges=found.ranges,
        busy=found.busy,
    )


def _from_guard(
    effect: SendEffect, answer: GuardAnswer
) -> ownership.TargetAnswer:
    return ownership.TargetAnswer(
        target=effect.target,
        call=effect.call,
        accepted=answer.accepted,
        term=Term(answer.term),
        sequence=Sequence(answer.sequence),
        clock_ms=answer.clock_ms,
        ranges=_guarded_ranges(effect, answer),
        busy=answer.busy,
        guard=effect.guard,
    )


def _guarded_ranges(
    effect: SendEffect,
    answer: GuardAnswer,
) -> tuple[HashRange, ...] | None:
    if isinstance(effect, ownership.SendRenew):
        return None
    return tuple(map(ownership.hash_range, answer.ranges))
