"""A request while it is processed by this daemon."""

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
        Identifies the request in logs and responses.
    service, customer, key, key_hash
        Service, sender and key of the request.
    operation
        Groups requests of similar duration.
    method, path, headers, body
        The HTTP request for the target.
    deadline
        When the response is due, on the boot-time clock.
    repeatable
        Whether it may run more than once.
    ticket
        The ticket of a request that must not be repeated.
    hops
        Number of daemons it has passed through.
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
