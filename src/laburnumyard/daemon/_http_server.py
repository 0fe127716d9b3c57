"""HTTP server: uvicorn inside the daemon's event loop."""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import uvicorn

from laburnumyard.daemon._caller_intake import CallerIntake
from laburnumyard.daemon._http_protocol import CallerProtocol
from laburnumyard.intake import (
    CallerListener,
    ConnectionLimits,
    Work,
    longest_idle,
)
from laburnumyard.schema._generated.settings import LimitSettings

KEEP_ALIVE_S = 75
CLOSE_HEADER = (b'connection', b'close')


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    def __init__(
        self, config: uvicorn.Config, connection_limits: ConnectionLimits
    ) -> None:
        """Create a server that does not listen yet."""
        super().__init__(config)
        self.connection_limits = connection_limits
        self.accepting: set[asyncio.Task[object]] = set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, and accept while there are descriptors."""
        await self.lifespan.startup()
        listener = CallerListener(
            self.connect,
            self.start_task,
            self.connection_limits,
            self.close_one,
        )
        if sockets:
            listener.accept_from(sockets[0])
        else:
            listener.start(self.config.host, self.config.port)
        self.servers = [ListeningServer(listener)]
        self.started = True

    def connect(self, address: str) -> asyncio.Protocol:
        """Return the protocol of a connection from an address."""
        protocol = self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        protocol.address = address
        listener = self.servers[0].listener
        protocol.on_closed = partial(listener.note_end, address)
        return protocol

    def close_one(self, address: str) -> bool:
        """Close the connection that has done nothing for longest.

        Parameters
        ----------
        address
            IP address of its caller; ``ANY_ADDRESS`` for any.

        Returns
        -------
        bool
            Whether there was one.
        """
        idle = (
            connection
            for connection in self.server_state.connections
            if not (connection.is_read_paused or connection.is_closing)
        )
        oldest = longest_idle(idle, address)
        if oldest is None:
            return False
        oldest.cut('descriptors')
        return True

    def start_task(self, work: Work) -> None:
        """Run an asynchronous function in the background."""
        task = asyncio.ensure_future(work())
        self.accepting.add(task)
        task.add_done_callback(self.accepting.discard)

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the daemon has its own."""
        yield

    def disable_keep_alive(self) -> None:
        """Send ``connection: close`` with each connection's next response."""
        self.config.encoded_headers.append(CLOSE_HEADER)
        # uvicorn refreshes its own copy only once a second.
        self.server_state.default_headers = self.config.encoded_headers
        for connection in self.server_state.connections:
            if connection.cycle is not None:
                connection.cycle.keep_alive = False

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self.started and any(
            listener.is_serving() for listener in self.servers
        )

    @property
    def is_flushed(self) -> bool:
        """Whether every response has left this process."""
        return not any(
            connection.transport.get_write_buffer_size()
            for connection in self.server_state.connections
        )


class ListeningServer:
    """A listener as uvicorn handles its servers.

    Parameters
    ----------
    listener
        Accepts the connections.
    """

    def __init__(self, listener: CallerListener) -> None:
        """Wrap a listener."""
        self.listener = listener

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return bool(self.listener.sockets)

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()

    async def wait_closed(self) -> None:
        """Return, as the sockets are closed at once."""


def make_server(
    app: Any,
    address: str,
    limits: LimitSettings,
    intake: CallerIntake | None = None,
    connection_limits: ConnectionLimits | None = None,
) -> HttpServer:
    """Return an unstarted server of an ASGI application.

    Parameters
    ----------
    app
        The ASGI application.
    address
        IP address and port, separated by a colon.
    limits
        Limits on the head of a request.
    intake
        Shared by the servers of a process; without limits by default.
    connection_limits
        Limits on the connections, if not those of callers.
    """
    intake = intake or CallerIntake()
    host, _, port = address.rpartition(':')
    return HttpServer(
        uvicorn.Config(
            app,
            host=host,
            port=int(port),
            http=partial(CallerProtocol, limits, intake),
            ws='none',
            lifespan='off',
            interface='asgi3',
            access_log=False,
            log_config=None,
            log_level='error',
            timeout_keep_alive=KEEP_ALIVE_S,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        ),
        connection_limits or intake.bounds.callers,
    )
