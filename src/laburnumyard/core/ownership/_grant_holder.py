"""The holder's side of grants: a target's, or its guard's."""

from dataclasses import dataclass

from laburnumyard.core.ids import KeyHash, Seconds, Sequence, Term
from laburnumyard.core.keys import HashRange

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class HolderAnswer:
    """What a holder answers to each call.

    Parameters
    ----------
    accepted
        Whether it did as asked.
    term, sequence
        What it holds after the call.
    clock_ms
        A reading of its boot-time clock, in milliseconds, rounded down.
    ranges
        The ranges whose grant has not expired.
    """

    accepted: bool
    term: Term
    sequence: Sequence
    clock_ms: int
    ranges: tuple[HashRange, ...]


class GrantHolder:
    """Accepts seals, grants and renewals, and tells which hashes are held.

    Times are seconds of the holder's own boot-time clock. A holder that starts
    anew knows no term and holds nothing.

    Parameters
    ----------
    started_at
        The clock at the start of the process. A reading from before it was
        given by an earlier process and extends nothing.

    Examples
    --------
    >>> holder = GrantHolder(Seconds(10))
    >>> holder.seal(Term(1), Seconds(11)).accepted
    True
    """

    def __init__(self, started_at: Seconds) -> None:
        """Start without a term and without ranges."""
        self.started_at = started_at
        self.term = Term(0)
        self.sequence = Sequence(0)
        self.ranges: tuple[HashRange, ...] = ()
        self.expires_at = started_at

    def seal(self, term: Term, now: Seconds) -> HolderAnswer:
        """Refuse all lower terms from now on; ranges stay until they expire."""
        if term < self.term:
            return self.answer(accepted=False, now=now)
        if term > self.term:
            self.term = term
            self.sequence = Sequence(0)
        return self.answer(accepted=True, now=now)

    def grant(
        self,
        term: Term,
        sequence: Sequence,
        clock_ms: int,
        lifetime_ms: int,
        ranges: tuple[HashRange, ...],
        now: Seconds,
    ) -> HolderAnswer:
        """Replace the ranges held.

        Parameters
        ----------
        term, sequence
            The fencing token; the term must be the sealed one, the sequence
            above the last.
        clock_ms
            The reading of this clock that the grant echoes.
        lifetime_ms
            How long after that reading the grant ends.
        ranges
            Everything that is held from now on.
        now
            This clock.

        Returns
        -------
        HolderAnswer
            What is held after the call.
        """
        if term != self.term or sequence <= self.sequence:
            return self.answer(accepted=False, now=now)
        self.sequence = sequence
        self.ranges = ranges
        self.expires_at = self._expiry(clock_ms, lifetime_ms, now)
        return self.answer(accepted=True, now=now)

    def renew(
        self,
        term: Term,
        sequence: Sequence,
        clock_ms: int,
        lifetime_ms: int,
        now: Seconds,
    ) -> HolderAnswer:
        """Extend the last grant; arguments as in ``grant``."""
        if term != self.term or sequence != self.sequence:
            return self.answer(accepted=False, now=now)
        expires_at = self._expiry(clock_ms, lifetime_ms, now)
        self.expires_at = max(self.expires_at, expires_at)
        return self.answer(accepted=True, now=now)

    def holds(self, key_hash: KeyHash, now: Seconds) -> bool:
        """Tell whether a hash is held now."""
        return any(key_hash in part for part in self.live_ranges(now))

    def live_ranges(self, now: Seconds) -> tuple[HashRange, ...]:
        """Return the ranges held now."""
        return self.ranges if now < self.expires_at else ()

    def answer(self, *, accepted: bool, now: Seconds) -> HolderAnswer:
        """Return the state of the holder as an answer."""
        return HolderAnswer(
            accepted,
            self.term,
            self.sequence,
            int(now * MS_PER_SECOND),
            self.live_ranges(now),
        )

    def _expiry(
        self,
        clock_ms: int,
        lifetime_ms: int,
        now: Seconds,
    ) -> Seconds:
        # A reading that this process cannot have given extends nothing.
        first_ms = int(self.started_at * MS_PER_SECOND)
        if clock_ms < first_ms or clock_ms > now * MS_PER_SECOND:
            return self.started_at
        return Seconds((clock_ms + lifetime_ms) / MS_PER_SECOND)
