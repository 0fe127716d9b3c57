"""Requests of callers and the answers they get."""

from dataclasses import dataclass
from http import HTTPStatus

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling import Refusal
from laburnumyard.gateway._platform_interface import Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request.

    Parameters
    ----------
    method, path
        The path with its query, as it came.
    host
        The ``host`` header.
    headers
        Names in lower case, and texts.
    body
        The whole body.
    arrived_at
        When its first byte was read.
    """

    method: str
    path: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: Seconds


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A whole answer.

    Parameters
    ----------
    status
        The HTTP status.
    headers
        Headers besides those of the connection.
    body
        The whole body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class RequestResult:
    """An answer, and why the request ended so.

    Parameters
    ----------
    answer
        What the caller gets.
    reason
        For logs and metrics.
    """

    response: CallerResponse
    reason: str


def refuse_request(
    reason: Refusal | str, retry_after_s: float
) -> RequestResult:
    """Return the refusal of a request that has not run and never will.

    Parameters
    ----------
    reason
        Why, for logs.
    retry_after_s
        When the caller should come back, in seconds.
    """
    text = reason.value if isinstance(reason, Refusal) else reason
    headers = (('retry-after', f'{retry_after_s:.3f}'),)
    return RequestResult(
        CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE, headers), text
    )
