"""A request on its way through this daemon."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    CustomerName,
    KeyHash,
    RequestId,
    Seconds,
    ServiceName,
    TicketId,
)


@dataclass(slots=True)
class Job:
    """A checked request with its deadline on this daemon's clock.

    Parameters
    ----------
    request_id
        Its name in logs and answers.
    service, customer, key, key_hash
        What it is about, and who sends it.
    operation
        Names requests of about the same length.
    method, path, headers, body
        What the target is sent.
    deadline
        When its answer is due, on the boot-time clock.
    repeatable
        Whether it may run more than once.
    ticket
        The ticket of a request that must not be repeated.
    hops
        How many daemons it has passed.
    """

    request_id: RequestId
    service: ServiceName
    customer: CustomerName
    key: str
    key_hash: KeyHash
    operation: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: Seconds
    repeatable: bool
    ticket: TicketId
    hops: int
