"""The ledger: a request that is not repeatable runs at most once.

A ticket is free and leaves no trace at its issuer until it is submitted. It
carries the time of its issue, so that the ledger can forget old ones and
still know that they are old: a ticket that it does not hold and that is
older than anything it may have forgotten is void, never run.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush
from types import MappingProxyType

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import DaemonName, Incarnation, Seconds, TicketId
from laburnumyard.core.requests._decisions import (
    Conflict,
    Decision,
    NotTaken,
    Replay,
    Run,
    StillRunning,
    Void,
)
from laburnumyard.core.requests._tickets import Ticket
from laburnumyard.schema._generated.settings import LimitSettings

MILLISECONDS = 1000
# A full ledger forgets an answer after this part of a ticket's life at the
# earliest; until then it refuses new work instead.
LEAST_LIFE_PART = 0.1


class Stage(Enum):
    """How far a ticket has come."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    # It ran, but its answer had to make room for others.
    ANSWER_DROPPED = 'answer-dropped'


@dataclass(slots=True)
class _Entry:
    ticket: Ticket
    fingerprint: bytes
    stage: Stage = Stage.RUNNING
    answer: bytes = b''


class TicketLedger:
    """What became of the tickets that one daemon issued.

    Parameters
    ----------
    issuer
        The daemon.
    incarnation
        Its incarnation.
    limits
        How many tickets and how many bytes of answers are kept, and for how
        long a ticket can be used.
    """

    def __init__(
        self,
        issuer: DaemonName,
        incarnation: Incarnation,
        limits: LimitSettings,
    ) -> None:
        """Start with no ticket used."""
        self.issuer = issuer
        self.incarnation = incarnation
        self.limits = limits
        self.entries: dict[TicketId, _Entry] = {}
        # Ended tickets by the time of their issue.
        self.ended: list[tuple[int, TicketId]] = []
        # Tickets with an answer, in the order of their end.
        self.answered: dict[TicketId, None] = {}
        self.answer_bytes = 0
        self.running = 0
        # A ticket that was issued by then may have been forgotten.
        self.forgotten_ms = -1
        self.is_draining = False

    def issue(self, draw: int, now: Seconds) -> Ticket:
        """Issue a ticket; nothing is kept of it.

        Parameters
        ----------
        draw
            A random number of at least 64 bits.
        now
            The time.

        Returns
        -------
        Ticket
            A new ticket.
        """
        return Ticket(self.issuer, self.incarnation, _milliseconds(now), draw)

    def submit(
        self,
        ticket: Ticket,
        fingerprint: bytes,
        now: Seconds,
    ) -> Decision:
        """Decide what a submission gets.

        Parameters
        ----------
        ticket
            The caller's ticket.
        fingerprint
            A digest of the request, to tell it from others.
        now
            The time.

        Returns
        -------
        Decision
            ``Run`` for one submission of a ticket at most, unless ``finish``
            said that the request did not run.
        """
        self.expire(now)
        entry = self.entries.get(ticket.ticket_id)
        if entry is not None:
            return _repeated(entry, fingerprint)
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return refusal
        self.entries[ticket.ticket_id] = _Entry(ticket, fingerprint)
        self.running += 1
        return Run()

    def finish(self, ticket: Ticket, ran: Ran, answer: bytes) -> None:
        """Note how a run ended.

        Parameters
        ----------
        ticket
            The ticket that got ``Run``.
        ran
            What is known; after ``not-run`` the ticket can be used again.
        answer
            The encoded answer to replay.
        """
        entry = self.entries.get(ticket.ticket_id)
        if entry is None or entry.stage is not Stage.RUNNING:
            return
        self.running -= 1
        if ran is Ran.NOT_RUN:
            self.entries.pop(ticket.ticket_id)
            return
        entry.stage = Stage.ANSWERED
        entry.answer = answer
        self.answer_bytes += len(answer)
        self.answered[ticket.ticket_id] = None
        heappush(self.ended, (ticket.issued_ms, ticket.ticket_id))
        self._bound_answers()

    def expire(self, now: Seconds) -> None:
        """Forget ended tickets that are past their life."""
        oldest = _milliseconds(now - self.limits.ticket_life_s)
        while self.ended and self.ended[0][0] <= oldest:
            self._forget_oldest()

    def drain(self) -> None:
        """Take no new submission; those that run end, answers are replayed."""
        self.is_draining = True

    def _refusal(self, ticket: Ticket, now: Seconds) -> Decision | None:
        void = self._void_reason(ticket, now)
        if void:
            return Void(Failure(ErrorKind.TICKET_VOID, void))
        if self.is_draining:
            return NotTaken(Failure(ErrorKind.SHUTTING_DOWN))
        if self._has_room(now):
            return None
        return NotTaken(Failure(ErrorKind.OVERLOADED, 'too many tickets'))

    def _void_reason(self, ticket: Ticket, now: Seconds) -> str:
        if ticket.issuer != self.issuer:
            return f'{ticket.issuer} issued it, not {self.issuer}'
        if ticket.incarnation != self.incarnation:
            return f'{ticket.issuer} has been restarted since'
        now_ms = _milliseconds(now)
        if ticket.issued_ms > now_ms:
            return 'it was not issued yet'
        oldest = _milliseconds(now - self.limits.ticket_life_s)
        if ticket.issued_ms <= max(oldest, self.forgotten_ms):
            age_ms = now_ms - ticket.issued_ms
            return f'it is {age_ms} ms old'
        return ''

    def _has_room(self, now: Seconds) -> bool:
        if len(self.entries) < self.limits.tickets:
            return True
        least_life = self.limits.ticket_life_s * LEAST_LIFE_PART
        youngest = _milliseconds(now - least_life)
        if self.ended and self.ended[0][0] <= youngest:
            self._forget_oldest()
            return True
        return False

    def _forget_oldest(self) -> None:
        issued_ms, ticket_id = heappop(self.ended)
        self.forgotten_ms = max(self.forgotten_ms, issued_ms)
        entry = self.entries.pop(ticket_id)
        self.answered.pop(ticket_id, None)
        self.answer_bytes -= len(entry.answer)

    def _bound_answers(self) -> None:
        while self.answer_bytes > self.limits.ticket_answer_bytes:
            ticket_id = next(iter(self.answered))
            self.answered.pop(ticket_id)
            entry = self.entries[ticket_id]
            self.answer_bytes -= len(entry.answer)
            entry.answer = b''
            entry.stage = Stage.ANSWER_DROPPED


def _milliseconds(moment: float) -> int:
    return int(moment * MILLISECONDS)


def _repeated(entry: _Entry, fingerprint: bytes) -> Decision:
    if entry.fingerprint != fingerprint:
        return Conflict()
    return _DECISIONS[entry.stage](entry)


_DECISIONS: Mapping[Stage, Callable[[_Entry], Decision]] = MappingProxyType(
    {
        Stage.RUNNING: lambda entry: StillRunning(),
        Stage.ANSWERED: lambda entry: Replay(entry.answer),
        Stage.ANSWER_DROPPED: lambda entry: Void(
            Failure(ErrorKind.TICKET_VOID, 'it ran; its answer is not kept'),
        ),
    }
)
