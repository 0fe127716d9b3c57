"""Tickets: the right to run a request once."""

from dataclasses import dataclass

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import DaemonName, Incarnation, TicketId

HEXADECIMAL = 16
TICKET_PARTS = 4
# The longest ticket that is read, in characters.
TICKET_LIMIT = 160


@dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one request once.

    Parameters
    ----------
    issuer
        The daemon whose ledger knows the ticket.
    incarnation
        The issuer's incarnation; the ticket is void in any other.
    issued_ms
        When it was issued, in milliseconds of the issuer's clock.
    draw
        A random number of the issuer.
    """

    issuer: DaemonName
    incarnation: Incarnation
    issued_ms: int
    draw: int

    @property
    def ticket_id(self) -> TicketId:
        """The ticket as the caller holds it."""
        return TicketId(
            f'{self.issuer}.{self.incarnation:x}.'
            f'{self.issued_ms:x}.{self.draw:x}',
        )


def parse_ticket(text: str) -> Ticket | None:
    """Read a ticket that a caller sent; it is not trusted.

    Parameters
    ----------
    text
        The header's value.

    Returns
    -------
    Ticket or None
        None where the text is no ticket.

    Examples
    --------
    >>> parse_ticket('lima-1.2a.3e8.7').issued_ms
    1000
    >>> parse_ticket('lima-1.2a.+3e8.7') is None
    True
    """
    if len(text) > TICKET_LIMIT:
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
    # Only the one spelling that was issued is taken.
    return ticket if ticket.ticket_id == text else None


def failure_before_ledger(failure: Failure) -> Failure:
    """Give what a submission with a ticket is told without its ledger.

    Only the ledger knows whether an earlier submission of the same ticket
    ran. A daemon that could not ask it must not promise that the request
    did not run, even if this submission went nowhere.

    Parameters
    ----------
    failure
        Why the submission did not reach the ledger.

    Returns
    -------
    Failure
        The same, or ``peer-broke-off`` where its kind promises too much.
    """
    answer = failure.answer
    if answer.ran is Ran.NOT_RUN and answer.may_retry:
        return Failure(ErrorKind.PEER_BROKE_OFF, failure.kind.value)
    return failure
