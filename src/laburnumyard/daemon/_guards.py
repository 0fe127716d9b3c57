"""The grants of targets that do not check fencing tokens themselves."""

from collections import defaultdict
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import KeyHash, Seconds, Sequence, TargetName, Term
from laburnumyard.core.ownership import (
    GrantHolder,
    HolderAnswer,
    hash_range,
    owned_range,
)
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.schema._generated.messages import (
    GuardAnswer,
    GuardGrant,
    GuardSeal,
)
from laburnumyard.schema._generated.objects import Fencing

# How much later than here a deadline may pass at a target, in seconds.
DEADLINE_TRANSFER_MARGIN_S = 0.05


@dataclass(slots=True, eq=False)
class SentRequest:
    """A request that a guarded target may be running.

    Parameters
    ----------
    key_hash
        Its key.
    latest_end
        When the target has stopped it at the latest, on the boot-time clock.
    """

    key_hash: KeyHash
    latest_end: Seconds


class Guards:
    """Holds grants in place of targets that check nothing.

    Parameters
    ----------
    view
        Tells which targets check fencing tokens.
    """

    def __init__(self, view: ClusterView) -> None:
        """Start without a grant."""
        self.view = view
        self.holders: dict[TargetName, GrantHolder] = {}
        self.sent: dict[TargetName, set[SentRequest]] = defaultdict(set)

    def record_sent(
        self,
        target: TargetName,
        key_hash: KeyHash,
        deadline: Seconds,
    ) -> SentRequest:
        """Remember a request that is about to be sent."""
        request = SentRequest(
            key_hash, Seconds(deadline + DEADLINE_TRANSFER_MARGIN_S)
        )
        self.sent[target].add(request)
        return request

    def record_ended(self, target: TargetName, request: SentRequest) -> None:
        """Forget a request that the target has answered, or never got."""
        self.sent[target].discard(request)

    def holds(
        self,
        target: TargetName,
        key_hash: KeyHash,
        now: Seconds,
    ) -> bool:
        """Tell whether a request for a key may be sent to a target now."""
        holder = self.holders.get(target)
        return holder is not None and holder.holds(key_hash, now)

    def busy(self, target: TargetName, now: Seconds) -> int:
        """Count the requests in flight on keys that are not held any more.

        A request that was cancelled counts until its deadline: a target that
        checks nothing may not have noticed.
        """
        sent = self.sent[target]
        sent -= {request for request in sent if request.latest_end <= now}
        holder = self._holder(target, now)
        return sum(not holder.holds(each.key_hash, now) for each in sent)

    @singledispatchmethod
    def answer(self, message: GuardSeal | GuardGrant) -> GuardAnswer:
        """Take an order of a lease manager in place of a target."""
        raise TypeError(f'{message!r} is no order to a guard')

    @answer.register
    def _seal(self, message: GuardSeal) -> GuardAnswer:
        now = boot_time()
        holder = self._holder(TargetName(message.target), now)
        answer = holder.seal(Term(message.term), now)
        busy = self.busy(TargetName(message.target), now)
        return _guard_answer(message.number, answer, busy)

    @answer.register
    def _grant(self, message: GuardGrant) -> GuardAnswer:
        now = boot_time()
        holder = self._holder(TargetName(message.target), now)
        term, sequence = Term(message.term), Sequence(message.sequence)
        if message.replaces:
            answer = holder.grant(
                term,
                sequence,
                message.clock_ms,
                message.lifetime_ms,
                tuple(map(hash_range, message.ranges)),
                now,
            )
        else:
            answer = holder.renew(
                term, sequence, message.clock_ms, message.lifetime_ms, now
            )
        busy = self.busy(TargetName(message.target), now)
        told = _guard_answer(message.number, answer, busy)
        # A renewal leaves the ranges as they are: they need not travel.
        return told if message.replaces else replace(told, ranges=())

    def _holder(self, target: TargetName, now: Seconds) -> GrantHolder:
        if target not in self.holders:
            self.holders[target] = GrantHolder(now)
        return self.holders[target]


def _guard_answer(
    number: int,
    answer: HolderAnswer,
    busy: int,
) -> GuardAnswer:
    return GuardAnswer(
        number=number,
        accepted=answer.accepted,
        term=answer.term,
        sequence=answer.sequence,
        clock_ms=answer.clock_ms,
        ranges=tuple(map(owned_range, answer.ranges)),
        busy=busy,
    )


class TargetGuard:
    """What a guard asks of the requests to one target.

    Parameters
    ----------
    guards
        The grants.
    target
        The target.
    """

    def __init__(self, guards: Guards, target: TargetName) -> None:
        """Start without a request."""
        self.guards = guards
        self.target = target

    @property
    def is_needed(self) -> bool:
        """Whether the target checks nothing itself."""
        configured = self.guards.view.configuration.targets.get(self.target)
        return configured is None or configured.fencing is Fencing.none

    def is_granted(self, key_hash: KeyHash) -> bool:
        """Tell whether a request for a key may be sent now."""
        if not self.is_needed:
            return True
        return self.guards.holds(self.target, key_hash, boot_time())

    def cap_deadline(self, deadline: Seconds, now: Seconds) -> Seconds:
        """Return the deadline that the target is given."""
        if not self.is_needed:
            return deadline
        longest = self.guards.view.settings.limits.guarded_deadline_max_s
        return min(deadline, Seconds(now + longest))

    def record_sent(
        self,
        key_hash: KeyHash,
        deadline: Seconds,
    ) -> SentRequest | None:
        """Remember a request that is about to be sent; None if needless."""
        if not self.is_needed:
            return None
        return self.guards.record_sent(self.target, key_hash, deadline)

    def record_ended(self, request: SentRequest | None) -> None:
        """Forget a request that the target has answered, or never got."""
        if request is not None:
            self.guards.record_ended(self.target, request)
