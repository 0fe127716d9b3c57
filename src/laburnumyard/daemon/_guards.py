"""Holds grants on behalf of targets that do not check fencing tokens."""

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

# Upper bound on how much later a deadline passes at a target than here,
# because of the transfer time.
DEADLINE_TRANSFER_MARGIN_S = 0.05


@dataclass(slots=True, eq=False)
class SentRequest:
    """A request that a guarded target may be running.

    Parameters
    ----------
    key_hash
        Hash of the request's key.
    latest_end
        Latest time at which the target stops it, on the boot-time clock.
    """

    key_hash: KeyHash
    latest_end: Seconds


class Guards:
    """Holds grants for targets without fencing.

    Parameters
    ----------
    view
        Provides the configuration and the settings.
    """

    def __init__(self, view: ClusterView) -> None:
        """Initialise with no grant."""
        self.view = view
        self.holders: dict[TargetName, GrantHolder] = {}
        self.sent: dict[TargetName, set[SentRequest]] = defaultdict(set)

    def record_sent(
        self,
        target: TargetName,
        key_hash: KeyHash,
        deadline: Seconds,
    ) -> SentRequest:
        """Record a request that is about to be sent."""
        request = SentRequest(
            key_hash, Seconds(deadline + DEADLINE_TRANSFER_MARGIN_S)
        )
        self.sent[target].add(request)
        return request

    def record_ended(self, target: TargetName, request: SentRequest) -> None:
        """Remove a request that the target answered or never received."""
        self.sent[target].discard(request)

    def holds(
        self,
        target: TargetName,
        key_hash: KeyHash,
        now: Seconds,
    ) -> bool:
        """Return whether a request for a key may be sent to a target now."""
        holder = self.holders.get(target)
        return holder is not None and holder.holds(key_hash, now)

    def busy(self, target: TargetName, now: Seconds) -> int:
        """Count the requests in flight on keys that are no longer granted.

        A cancelled request counts until its deadline: a target without fencing
        may not have noticed the cancellation.
        """
        sent = self.sent[target]
        sent -= {request for request in sent if request.latest_end <= now}
        holder = self._holder(target, now)
        return sum(not holder.holds(each.key_hash, now) for each in sent)

    @singledispatchmethod
    def answer(self, message: GuardSeal | GuardGrant) -> GuardAnswer:
        """Answer a lease manager's message on behalf of a target."""
        raise TypeError(
            f'not a guard message: {message!r}; send GuardSeal or GuardGrant'
        )

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
        reply = _guard_answer(message.number, answer, busy)
        # A renewal doesn't change the ranges, so they are left out.
        return reply if message.replaces else replace(reply, ranges=())

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
    """Checks and tracks the requests to one target.

    Parameters
    ----------
    guards
        The grants held by this daemon.
    target
        Name of the target.
    """

    def __init__(self, guards: Guards, target: TargetName) -> None:
        """Initialise with no request tracked."""
        self.guards = guards
        self.target = target

    @property
    def is_needed(self) -> bool:
        """Whether the target doesn't check fencing tokens itself."""
        configured = self.guards.view.configuration.targets.get(self.target)
        return configured is None or configured.fencing is Fencing.none

    def is_granted(self, key_hash: KeyHash) -> bool:
        """Return whether a request for a key may be sent now."""
        if not self.is_needed:
            return True
        return self.guards.holds(self.target, key_hash, boot_time())

    def cap_deadline(self, deadline: Seconds, now: Seconds) -> Seconds:
        """Return the deadline sent to the target, capped where guarded."""
        if not self.is_needed:
            return deadline
        longest = self.guards.view.settings.limits.guarded_deadline_max_s
        return min(deadline, Seconds(now + longest))

    def record_sent(
        self,
        key_hash: KeyHash,
        deadline: Seconds,
    ) -> SentRequest | None:
        """Record a request about to be sent; None if no guard is needed."""
        if not self.is_needed:
            return None
        return self.guards.record_sent(self.target, key_hash, deadline)

    def record_ended(self, request: SentRequest | None) -> None:
        """Remove a request that the target answered or never received."""
        if request is not None:
            self.guards.record_ended(self.target, request)
