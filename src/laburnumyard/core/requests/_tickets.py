"""Tickets, each of which authorizes at most one run of a request."""

from dataclasses import dataclass

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import DaemonName, Incarnation, TicketId

HEXADECIMAL = 16
TICKET_PARTS = 4
# Longer tickets are rejected unread.
MAX_TICKET_CHARACTERS = 160


@dataclass(frozen=True, slots=True)
class Ticket:
    """Authorization to run one request at most once.

    Parameters
    ----------
    issuer
        The daemon whose ledger records the ticket.
    incarnation
        The incarnation of the issuer; the ticket is void in any other.
    issued_ms
        When it was issued, in milliseconds of the issuer's clock.
    draw
        A random number chosen by the issuer.
    """

    issuer: DaemonName
    incarnation: Incarnation
    issued_ms: int
    draw: int

    @property
    def ticket_id(self) -> TicketId:
        """The ticket as text, as it is sent to the caller."""
        return TicketId(
            f'{self.issuer}.{self.incarnation:x}.'
            f'{self.issued_ms:x}.{self.draw:x}',
        )


def parse_ticket(text: str) -> Ticket | None:
    """Parse an untrusted ticket from a caller.

    Parameters
    ----------
    text
        The value of the header.

    Returns
    -------
    Ticket or None
        None if the text is not a valid ticket.

    Examples
    --------
    >>> parse_ticket('lima-1.2a.3e8.7').issued_ms
    1000
    >>> parse_ticket('lima-1.2a.+3e8.7') is None
    True
    """
    if len(text) > MAX_TICKET_CHARACTERS:
        return None
    parts = text.rsplit('.', TICKET_PARTS - 1)
    if len(parts) != TICKET_PARTS or not parts[0]:
        return None
    try:
        numbers = [int(part, HEXADECIMAL) for part in parts[1:]]
    except ValueError:
        return None
    if min(numbers) < 0:
        return None
    issuer = DaemonName(parts[0])
    ticket = Ticket(issuer, Incarnation(numbers[0]), *numbers[1:])
    # Only the canonical spelling is accepted.
    return ticket if ticket.ticket_id == text else None


def failure_before_ledger(failure: Failure) -> Failure:
    """Return the failure to report if the ledger could not be reached.

    Only the ledger knows whether an earlier submission of the same ticket
    ran. A daemon that could not ask it must not report that the request did
    not run, even if this submission was never delivered.

    Parameters
    ----------
    failure
        Why the submission did not reach the ledger.

    Returns
    -------
    Failure
        The same failure, or ``peer-broke-off`` if its kind says that the
        request did not run and may be retried.
    """
    answer = failure.answer
    if answer.ran is Ran.NOT_RUN and answer.may_retry:
        return Failure(ErrorKind.PEER_BROKE_OFF, failure.kind.value)
    return failure
