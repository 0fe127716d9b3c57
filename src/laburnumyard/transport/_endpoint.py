"""HTTP calls to one address over persistent httpcore connections."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import anyio
import httpcore
from expression import Error, Ok, Result

from laburnumyard.transport._address import split_address
from laburnumyard.transport._target_exchange import FINAL_STATUSES

MAX_IDLE_CONNECTIONS = 4
MAX_ANSWER_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 30.0
# TCP keep-alive detects a silent connection within about three seconds, also
# during a long poll.
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
SENDING_HEADERS_EVENT = 'http11.send_request_headers.started'


class ExchangeFault(Enum):
    """Why an exchange got no complete response."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    BROKE_OFF = 'broke-off'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'


@dataclass(frozen=True, slots=True)
class ExchangeError:
    """An exchange without a complete response.

    Parameters
    ----------
    fault
        Kind of failure.
    has_left
        Whether a byte of the request may have been sent.
    detail
        Text for logs.
    """

    fault: ExchangeFault
    has_left: bool
    detail: str


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to an endpoint.

    Parameters
    ----------
    method, path
        Method and percent-encoded path.
    headers
        Headers other than ``host`` and ``content-length``.
    body
        Complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


ExchangeResult = Result[HttpResponse, ExchangeError]


@dataclass(slots=True)
class _Attempt:
    """One exchange on one connection, and whether bytes were sent."""

    connection: httpcore.AsyncHTTPConnection
    has_left: bool = False

    async def trace(self, event: str, _: Mapping[str, Any]) -> None:
        """Record that the request head is being sent."""
        if event == SENDING_HEADERS_EVENT:
            self.has_left = True

    def fail(self, fault: ExchangeFault, detail: object) -> ExchangeResult:
        """Return an error of this exchange."""
        return Error(ExchangeError(fault, self.has_left, str(detail)))


@dataclass(slots=True)
class Endpoint:
    """HTTP client of one address with its idle connections.

    Parameters
    ----------
    address
        ``IP:PORT`` of the server.
    """

    address: str
    idle: list[httpcore.AsyncHTTPConnection] = field(default_factory=list)

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
    ) -> ExchangeResult:
        """Send a request and return the complete response.

        Parameters
        ----------
        request
            Request to send; it is not retried.
        timeout_s
            Timeout of the whole exchange, in seconds.
        """
        attempt = _Attempt(await self._acquire_connection())
        outcome = attempt.fail(
            ExchangeFault.TIMEOUT,
            f'no response from {self.address} within {timeout_s} s',
        )
        try:
            with anyio.move_on_after(timeout_s):
                outcome = await self._attempt(request, attempt)
        finally:
            await self._release_connection(attempt.connection)
        if outcome.is_error() and outcome.error.has_left != attempt.has_left:
            return attempt.fail(outcome.error.fault, outcome.error.detail)
        return outcome

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            await self.idle.pop().aclose()

    async def _attempt(
        self,
        request: HttpRequest,
        attempt: _Attempt,
    ) -> ExchangeResult:
        try:
            return await self._send_and_read(request, attempt)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
        ) as connect_error:
            return attempt.fail(ExchangeFault.UNREACHABLE, connect_error)
        except (
            httpcore.NetworkError,
            httpcore.RemoteProtocolError,
        ) as network_error:
            return attempt.fail(ExchangeFault.BROKE_OFF, network_error)
        except httpcore.LocalProtocolError as protocol_error:
            return attempt.fail(ExchangeFault.MALFORMED, protocol_error)

    async def _send_and_read(
        self,
        request: HttpRequest,
        attempt: _Attempt,
    ) -> ExchangeResult:
        response = await attempt.connection.handle_async_request(
            self._encode(request, attempt),
        )
        if response.status not in FINAL_STATUSES:
            # As for a status below 100, which h11 rejects; the connection is
            # not idle and is closed.
            detail = f'invalid status {response.status}'
            return attempt.fail(ExchangeFault.BROKE_OFF, detail)
        chunks = []
        remaining_bytes = MAX_ANSWER_BYTES
        async for chunk in response.aiter_stream():
            chunks.append(chunk)
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                return attempt.fail(ExchangeFault.TOO_LARGE, self.address)
        await response.aclose()
        headers = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in response.headers
        }
        return Ok(HttpResponse(response.status, headers, b''.join(chunks)))

    def _encode(
        self,
        request: HttpRequest,
        attempt: _Attempt,
    ) -> httpcore.Request:
        host, port = split_address(self.address)
        headers = {
            'host': self.address,
            'content-length': str(len(request.body)),
            **request.headers,
        }
        return httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b'http',
                host=host.encode(),
                port=port,
                target=request.path.encode(),
            ),
            headers=headers,
            content=request.body,
            extensions={'trace': attempt.trace},
        )

    async def _take_idle(self) -> httpcore.AsyncHTTPConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await connection.aclose()
        return None

    async def _acquire_connection(self) -> httpcore.AsyncHTTPConnection:
        connection = await self._take_idle()
        if connection is not None:
            return connection
        host, port = split_address(self.address)
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b'http', host.encode(), port),
            keepalive_expiry=IDLE_TIMEOUT_S,
            network_backend=httpcore.AnyIOBackend(),
            socket_options=KEEP_ALIVE_OPTIONS,
        )

    async def _release_connection(
        self,
        connection: httpcore.AsyncHTTPConnection,
    ) -> None:
        # A connection whose response was not read completely is not idle.
        is_kept = connection.is_idle() and not connection.has_expired()
        if is_kept and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()
