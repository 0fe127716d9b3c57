"""HTTP requests of callers and the responses they get."""

from dataclasses import dataclass
from http import HTTPStatus

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling import Refusal
from laburnumyard.gateway._platform_interface import Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete HTTP request.

    Parameters
    ----------
    method, path
        Method, and path with query string exactly as received, without scheme
        and authority.
    host
        Authority of the request target, or the ``host`` header without one.
    headers
        Pairs of lower-case name and value.
    body
        Complete body, only a large one as a ``bytearray``; must not be changed.
    arrived_at
        Time of its first byte (``boot_time``), in seconds.
    """

    method: str
    path: str
    host: str
    headers: Headers
    body: bytes | bytearray
    arrived_at: Seconds


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete HTTP response.

    Parameters
    ----------
    status
        HTTP status code.
    headers
        Headers other than those about the connection.
    body
        Complete body.
    """

    status: int
    headers: Headers = ()
    body: bytes | bytearray = b''


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The response to a request and the reason for it.

    Parameters
    ----------
    response
        Response to the caller.
    reason
        Label for logs and metrics.
    """

    response: CallerResponse
    reason: str


def refuse_request(
    reason: Refusal | str, retry_after_s: float
) -> RequestResult:
    """Return a 503 for a request that did not run and will not run.

    Parameters
    ----------
    reason
        Label for logs and metrics.
    retry_after_s
        Delay before the caller should retry, in seconds.
    """
    text = reason.value if isinstance(reason, Refusal) else reason
    headers = (('retry-after', f'{retry_after_s:.3f}'),)
    return RequestResult(
        CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE, headers), text
    )
