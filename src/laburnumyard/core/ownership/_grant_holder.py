"""The holder's side of grants, for a target or its guard."""

from dataclasses import dataclass

from laburnumyard.core.ids import KeyHash, Seconds, Sequence, Term
from laburnumyard.core.key_hashing import HashRange

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class HolderAnswer:
    """The answer of a holder to a seal, a grant or a renewal.

    Parameters
    ----------
    accepted
        Whether the holder accepted the call.
    term, sequence
        The fencing token that the holder has after the call.
    clock_ms
        A reading of the holder's boot-time clock, in milliseconds, rounded
        down.
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

    Times are seconds of the holder's own boot-time clock. A newly started
    holder knows no term and holds no ranges.

    Parameters
    ----------
    started_at
        The clock at the start of the process. An earlier reading comes from
        an earlier process and does not extend a grant.

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
        """Refuse all lower terms from now on; held ranges stay until expiry."""
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
        """Replace the held ranges.

        Parameters
        ----------
        term, sequence
            The fencing token; the term must equal the sealed one, and the
            sequence must be above the last one.
        clock_ms
            The reading of this holder's clock that the grant echoes.
        lifetime_ms
            The lifetime of the grant from that reading, in milliseconds.
        ranges
            All ranges that are held from now on.
        now
            The present time on this holder's clock.

        Returns
        -------
        HolderAnswer
            The token and ranges after the call.
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
        """Extend the last grant; the parameters are those of ``grant``."""
        if term != self.term or sequence != self.sequence:
            return self.answer(accepted=False, now=now)
        expires_at = self._expiry(clock_ms, lifetime_ms, now)
        self.expires_at = max(self.expires_at, expires_at)
        return self.answer(accepted=True, now=now)

    def holds(self, key_hash: KeyHash, now: Seconds) -> bool:
        """Tell whether a hash is in a range whose grant has not expired."""
        return any(key_hash in part for part in self.live_ranges(now))

    def live_ranges(self, now: Seconds) -> tuple[HashRange, ...]:
        """Return the ranges whose grant has not expired."""
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
        # A reading that this process cannot have given does not extend a grant.
        first_ms = int(self.started_at * MS_PER_SECOND)
        if clock_ms < first_ms or clock_ms > now * MS_PER_SECOND:
            return self.started_at
        return Seconds((clock_ms + lifetime_ms) / MS_PER_SECOND)
