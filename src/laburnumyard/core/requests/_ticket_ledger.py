"""Ledger of submitted tickets: an unrepeatable request runs at most once.

The issuer stores nothing about a ticket until it is submitted. The ticket
carries its time of issue, so that the ledger can delete old records: a ticket
without a record that was issued no later than the newest deleted one is void
and never run.
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
    Rejected,
    Replay,
    Run,
    StillRunning,
    TicketVoid,
)
from laburnumyard.core.requests._tickets import Ticket
from laburnumyard.schema._generated.settings import LimitSettings

MS_PER_S = 1000
# A full ledger keeps each record for at least this fraction of its ticket's
# life and refuses new submissions meanwhile.
MIN_LIFE_FRACTION = 0.1


class TicketState(Enum):
    """State of a submitted ticket."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    # It ran, but its answer was evicted to bound memory.
    ANSWER_DROPPED = 'answer-dropped'


@dataclass(slots=True)
class _TicketRecord:
    ticket: Ticket
    fingerprint: bytes
    state: TicketState = TicketState.RUNNING
    answer: bytes = b''


class TicketLedger:
    """Outcomes of the tickets that one daemon issued.

    Parameters
    ----------
    issuer
        The daemon.
    incarnation
        Its incarnation.
    limits
        The number of tickets and bytes of answers to keep, and the lifetime
        of a ticket.
    """

    def __init__(
        self,
        issuer: DaemonName,
        incarnation: Incarnation,
        limits: LimitSettings,
    ) -> None:
        """Start without records."""
        self.issuer = issuer
        self.incarnation = incarnation
        self.limits = limits
        self.entries: dict[TicketId, _TicketRecord] = {}
        # Heap of finished tickets by time of issue.
        self.ended: list[tuple[int, TicketId]] = []
        # Tickets with a stored answer, in the order in which they finished.
        self.answered: dict[TicketId, None] = {}
        self.answer_bytes = 0
        self.running = 0
        # Records of tickets issued up to this time may have been deleted.
        self.forgotten_until_ms = -1
        self.is_draining = False

    def issue(self, draw: int, now: Seconds) -> Ticket:
        """Issue a ticket without storing anything about it.

        Parameters
        ----------
        draw
            A random number of at least 64 bits.
        now
            The current time, in seconds.

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
        """Decide whether a submission runs or what it is answered.

        Parameters
        ----------
        ticket
            The ticket sent by the caller.
        fingerprint
            A digest that identifies the request.
        now
            The current time, in seconds.

        Returns
        -------
        Decision
            ``Run`` for at most one submission of a ticket, unless ``finish``
            reported that the request did not run.
        """
        self.expire(now)
        entry = self.entries.get(ticket.ticket_id)
        if entry is not None:
            return _decide_repeat(entry, fingerprint)
        refusal = self._check_admission(ticket, now)
        if refusal is not None:
            return refusal
        self.entries[ticket.ticket_id] = _TicketRecord(ticket, fingerprint)
        self.running += 1
        return Run()

    def finish(self, ticket: Ticket, ran: Ran, answer: bytes) -> None:
        """Record the outcome of a run.

        Parameters
        ----------
        ticket
            The ticket for which ``submit`` returned ``Run``.
        ran
            Whether the request ran; after ``not-run`` the ticket can be reused.
        answer
            The encoded answer to replay.
        """
        entry = self.entries.get(ticket.ticket_id)
        if entry is None or entry.state is not TicketState.RUNNING:
            return
        self.running -= 1
        if ran is Ran.NOT_RUN:
            self.entries.pop(ticket.ticket_id)
            return
        entry.state = TicketState.ANSWERED
        entry.answer = answer
        self.answer_bytes += len(answer)
        self.answered[ticket.ticket_id] = None
        heappush(self.ended, (ticket.issued_ms, ticket.ticket_id))
        self._evict_answers()

    def expire(self, now: Seconds) -> None:
        """Delete records of finished tickets past their lifetime."""
        oldest = _milliseconds(now - self.limits.ticket_life_s)
        while self.ended and self.ended[0][0] <= oldest:
            self._forget_oldest()

    def drain(self) -> None:
        """Refuse new submissions; runs finish and answers are replayed."""
        self.is_draining = True

    def _check_admission(self, ticket: Ticket, now: Seconds) -> Decision | None:
        void = self._void_reason(ticket, now)
        if void:
            return TicketVoid(Failure(ErrorKind.TICKET_VOID, void))
        if self.is_draining:
            return Rejected(Failure(ErrorKind.SHUTTING_DOWN))
        if self._has_room(now):
            return None
        return Rejected(
            Failure(
                ErrorKind.OVERLOADED, 'the ticket ledger is full: retry later'
            )
        )

    def _void_reason(self, ticket: Ticket, now: Seconds) -> str:
        if ticket.issuer != self.issuer:
            return f'{ticket.issuer} issued it, not {self.issuer}'
        if ticket.incarnation != self.incarnation:
            return f'{ticket.issuer} has been restarted since'
        now_ms = _milliseconds(now)
        if ticket.issued_ms > now_ms:
            return 'its time of issue is in the future'
        oldest = _milliseconds(now - self.limits.ticket_life_s)
        if ticket.issued_ms <= max(oldest, self.forgotten_until_ms):
            age_ms = now_ms - ticket.issued_ms
            return f'it was issued {age_ms} ms ago; its record may be deleted'
        return ''

    def _has_room(self, now: Seconds) -> bool:
        if len(self.entries) < self.limits.tickets:
            return True
        least_life = self.limits.ticket_life_s * MIN_LIFE_FRACTION
        youngest = _milliseconds(now - least_life)
        if self.ended and self.ended[0][0] <= youngest:
            self._forget_oldest()
            return True
        return False

    def _forget_oldest(self) -> None:
        issued_ms, ticket_id = heappop(self.ended)
        self.forgotten_until_ms = max(self.forgotten_until_ms, issued_ms)
        entry = self.entries.pop(ticket_id)
        self.answered.pop(ticket_id, None)
        self.answer_bytes -= len(entry.answer)

    def _evict_answers(self) -> None:
        while self.answer_bytes > self.limits.ticket_answer_bytes:
            ticket_id = next(iter(self.answered))
            self.answered.pop(ticket_id)
            entry = self.entries[ticket_id]
            self.answer_bytes -= len(entry.answer)
            entry.answer = b''
            entry.state = TicketState.ANSWER_DROPPED


def _milliseconds(moment: float) -> int:
    return int(moment * MS_PER_S)


def _decide_repeat(entry: _TicketRecord, fingerprint: bytes) -> Decision:
    if entry.fingerprint != fingerprint:
        return Conflict()
    return _REPEAT_DECISIONS[entry.state](entry)


_REPEAT_DECISIONS: Mapping[TicketState, Callable[[_TicketRecord], Decision]] = (
    MappingProxyType(
        {
            TicketState.RUNNING: lambda entry: StillRunning(),
            TicketState.ANSWERED: lambda entry: Replay(entry.answer),
            TicketState.ANSWER_DROPPED: lambda entry: TicketVoid(
                Failure(
                    ErrorKind.TICKET_VOID,
                    'the request ran, but its answer was dropped',
                ),
            ),
        }
    )
)
