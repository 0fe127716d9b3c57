"""Serves the requests of gateways that reach no target."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.memory_account import (
    REQUEST_BYTES,
    SMALL_BYTES,
    Holder,
    MemoryAccount,
)
from laburnumyard.gateway._http_messages import CallerRequest, RequestResult
from laburnumyard.gateway._platform_interface import RequestHead, WireFormat
from laburnumyard.gateway._relay_messages import (
    deadline_of,
    decode_request,
    encode_answer,
    refuse_relay,
)
from laburnumyard.schema._generated import messages
from laburnumyard.wire import Connection

Process = Callable[[CallerRequest, RequestHead], Awaitable[RequestResult]]


class RelayServer:
    """Serves the requests of gateways that reach no target.

    Parameters
    ----------
    wire_format
        Format of headers.
    process
        Routes a request without relaying it once more.
    is_available
        Whether this gateway reaches targets itself, and is not about to stop.
    account
        Account of the memory of the process.
    """

    def __init__(
        self,
        wire_format: WireFormat,
        process: Process,
        is_available: Callable[[], bool],
        account: MemoryAccount | None = None,
    ) -> None:
        """Create a server without requests."""
        self.wire_format = wire_format
        self.process = process
        self.is_available = is_available
        self.account = account or MemoryAccount()
        self.active: dict[Connection, dict[int, anyio.CancelScope]] = {}
        # Set and replaced when a request ends.
        self.ended = anyio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request of a peer is in progress."""
        while any(self.active.values()):
            await self.ended.wait()

    async def serve(self, link: Connection, message: messages.Submit) -> None:
        """Serve a request of a peer until it ends or is cancelled."""
        cost = len(message.body) + REQUEST_BYTES
        if not (self.is_available() and self.draw(cost)):
            link.send(refuse_relay(message.number))
            return
        scopes = self.active.get(link)
        if scopes is None:
            scopes = {}
            self.active[link] = scopes
            link.on_closed.append(self.cancel_link)
        try:
            with anyio.CancelScope() as scope:
                scopes[message.number] = scope
                link.send(await self.answer(message))
        finally:
            scopes.pop(message.number, None)
            self.end(cost)

    def draw(self, cost: int) -> bool:
        """Draw the bytes of a request; return whether there are any."""
        is_small = cost <= SMALL_BYTES
        return self.account.draw(Holder.RELAYED, cost, is_small=is_small)

    def end(self, cost: int) -> None:
        """Give the bytes of a request back, and announce its end."""
        self.account.give_back(Holder.RELAYED, cost)
        self.ended.set()
        self.ended = anyio.Event()

    async def answer(self, message: messages.Submit) -> messages.SubmitAnswer:
        """Route a request of a peer and return the answer."""
        request = decode_request(message, boot_time())
        head = replace(
            self.wire_format.read_request_head(request.headers),
            deadline_s=deadline_of(message),
        )
        result = await self.process(request, head)
        return encode_answer(message.number, result)

    def cancel(self, link: Connection, number: int) -> None:
        """Stop a request that the peer no longer waits for."""
        scope = self.active.get(link, {}).get(number)
        if scope is not None:
            scope.cancel()

    def cancel_link(self, link: Connection) -> None:
        """Stop all requests of a peer whose link closed."""
        for scope in self.active.pop(link, {}).values():
            scope.cancel()
