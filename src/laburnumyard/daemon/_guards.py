"""The grants of targets that do not check fencing tokens themselves."""

from functools import singledispatchmethod

from laburnumyard.core.ids import KeyHash, Seconds, Sequence, TargetName, Term
from laburnumyard.core.ownership import GrantHolder, HolderAnswer, hash_range
from laburnumyard.daemon._clock import boot_time
from laburnumyard.daemon._view import View
from laburnumyard.schema._generated.messages import (
    GuardAnswer,
    GuardGrant,
    GuardSeal,
    OwnedRange,
)
from laburnumyard.schema._generated.objects import Fencing


class Guards:
    """Holds grants in place of targets that check nothing.

    Parameters
    ----------
    view
        Tells which targets check fencing tokens.
    """

    def __init__(self, view: View) -> None:
        """Start without a grant."""
        self.view = view
        self.holders: dict[TargetName, GrantHolder] = {}

    def holds(
        self,
        target: TargetName,
        key_hash: KeyHash,
        now: Seconds,
    ) -> bool:
        """Tell whether a request for a key may be sent to a target now."""
        configured = self.view.configuration.targets.get(target)
        if configured is None:
            return False
        if configured.fencing is Fencing.token:
            return True
        holder = self.holders.get(target)
        return holder is not None and holder.holds(key_hash, now)

    @singledispatchmethod
    def answer(self, message: GuardSeal | GuardGrant) -> GuardAnswer:
        """Take an order of a lease manager in place of a target."""
        raise TypeError(f'{message!r} is no order to a guard')

    @answer.register
    def _seal(self, message: GuardSeal) -> GuardAnswer:
        now = boot_time()
        holder = self._holder(TargetName(message.target), now)
        answer = holder.seal(Term(message.term), now)
        return _guard_answer(message.number, answer)

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
        return _guard_answer(message.number, answer)

    def _holder(self, target: TargetName, now: Seconds) -> GrantHolder:
        if target not in self.holders:
            self.holders[target] = GrantHolder(now)
        return self.holders[target]


def _guard_answer(number: int, answer: HolderAnswer) -> GuardAnswer:
    return GuardAnswer(
        number=number,
        accepted=answer.accepted,
        term=answer.term,
        sequence=answer.sequence,
        clock_ms=answer.clock_ms,
        ranges=tuple(
            OwnedRange(part.start, part.stop - 1, '') for part in answer.ranges
        ),
        busy=0,
    )
