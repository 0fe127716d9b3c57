"""Persistent HTTP connection to a target, with one request at a time."""

import asyncio
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from laburnumyard.core.fast_results import ok
from laburnumyard.transport._address import split_address
from laburnumyard.transport._paced_writer import PacedWriter
from laburnumyard.transport._response_memory import ResponseMemory
from laburnumyard.transport._target_encoder import encode_head
from laburnumyard.transport._target_exchange import (
    FailureKind,
    TargetFailure,
    TargetRequest,
    TargetResponse,
)
from laburnumyard.transport._target_parser import ResponseParser, ResponseState

Answered = Result[TargetResponse, TargetFailure]


def do_nothing() -> None:
    """Ignore the end of a connection."""


class TargetConnection(asyncio.Protocol):
    """A connection to a target.

    It is reusable only while each response was read completely; a request that
    is cancelled or times out closes it.

    Parameters
    ----------
    address
        ``IP:PORT`` of the target.
    max_body_bytes
        Largest accepted response body, in bytes.
    memory
        Bound on the incomplete responses of all connections, if there is one.
    on_closed
        Called when a connection that was open has ended.
    """

    def __init__(
        self,
        address: str,
        max_body_bytes: int,
        memory: ResponseMemory | None = None,
        on_closed: Callable[[], None] = do_nothing,
    ) -> None:
        """Create the protocol without a connection; see ``open``."""
        self.address = address
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.parser = ResponseParser(max_body_bytes, memory)
        self.writer = PacedWriter()
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[Answered] | None = None
        self.opened_at = self.loop.time()
        self.used_at = self.opened_at
        self.requests = 0

    @classmethod
    async def open(
        cls,
        address: str,
        max_body_bytes: int,
        timeout_s: float,
        memory: ResponseMemory | None = None,
        on_closed: Callable[[], None] = do_nothing,
    ) -> Result['TargetConnection', TargetFailure]:
        """Connect to a target.

        Parameters
        ----------
        address, max_body_bytes, memory, on_closed
            As in the class.
        timeout_s
            Connect timeout, in seconds.

        Returns
        -------
        Result of TargetConnection
            The connection, or an ``UNREACHABLE`` or ``TIMEOUT`` failure.
        """
        connection = cls(address, max_body_bytes, memory, on_closed)
        host, port = split_address(address)
        connecting = connection.loop.create_connection(
            lambda: connection,
            host,
            port,
        )
        try:
            await asyncio.wait_for(connecting, timeout_s)
        except TimeoutError:
            connection.close()
            return connection.fail(FailureKind.TIMEOUT, has_left=False)
        except OSError as error:
            return connection.fail(
                FailureKind.UNREACHABLE,
                has_left=False,
                detail=str(error),
            )
        return Ok(connection)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.transport is not None
            and self.waiter is None
            and self.parser.is_reusable
            and not self.transport.is_closing()
        )

    async def send(self, request: TargetRequest, timeout_s: float) -> Answered:
        """Send a request and return the complete response.

        Parameters
        ----------
        request
            Request to send; it is not retried.
        timeout_s
            Timeout until the response is complete, in seconds.

        Returns
        -------
        Result of TargetResponse
            ``has_left`` of a failure states whether the request may have run.
        """
        if self.transport is None or not self.is_reusable:
            return self.fail(FailureKind.NOT_REUSABLE, has_left=False)
        try:
            head = encode_head(request, request.host or self.address)
        except ValueError as fault:
            return self.fail(
                FailureKind.BAD_REQUEST,
                has_left=False,
                detail=str(fault),
            )
        self.requests += 1
        self.waiter = self.loop.create_future()
        self.parser.expect(is_head=request.method == 'HEAD')
        self.writer.write(head, request.body)
        return await self._wait(self.waiter, timeout_s)

    def close(self) -> None:
        """Abort the connection; the target cancels a request in flight."""
        self.parser.is_reusable = False
        self.writer.drop()
        if self.transport is not None:
            self.transport.abort()

    def fail(
        self,
        kind: FailureKind,
        *,
        has_left: bool,
        detail: str = '',
    ) -> Result[Any, TargetFailure]:
        """Return a failure whose detail contains the address."""
        shown = f'{self.address}: {detail}' if detail else self.address
        return Error(TargetFailure(kind, has_left, shown))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.writer.transport = self.transport

    def pause_writing(self) -> None:
        """Write no more of a request until the target reads it."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Write more of a request."""
        self.writer.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self.parser.is_reusable = False
        self.parser.discard()
        self.writer.drop()
        self._complete(self.fail(FailureKind.BROKE_OFF, has_left=True))
        self.on_closed()

    def eof_received(self) -> bool:
        """Complete a response without a length, and close the connection."""
        if self.parser.finish() is ResponseState.WHOLE:
            self._complete(ok(self.parser.take()))
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        state = self.parser.feed(data)
        if state is ResponseState.WHOLE:
            self._complete(ok(self.parser.take()))
            self._check_request_was_read()
        elif state is ResponseState.FAILED:
            self._complete(self._response_failure())
        if not self.parser.is_reusable:
            self.close()

    def _response_failure(self) -> Answered:
        parser = self.parser
        return self.fail(
            parser.failure, has_left=True, detail=parser.failure_detail
        )

    def _check_request_was_read(self) -> None:
        """Disallow reuse if the target responded before reading the request.

        The target would read the next request as the rest of this one.
        """
        if not self.writer.is_idle:
            self.parser.is_reusable = False

    async def _wait(
        self,
        waiter: 'asyncio.Future[Answered]',
        timeout_s: float,
    ) -> Answered:
        timer = self.loop.call_later(timeout_s, self._expire)
        try:
            return await waiter
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()
            self._mark_idle()

    def _mark_idle(self) -> None:
        self.waiter = None
        self.used_at = self.loop.time()

    def _expire(self) -> None:
        self._complete(self.fail(FailureKind.TIMEOUT, has_left=True))
        self.close()

    def _complete(self, outcome: Answered) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(outcome)
