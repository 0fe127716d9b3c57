"""A uvicorn server inside the daemon's own loop."""

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import uvicorn

from laburnumyard.daemon._http_protocol import CallerProtocol
from laburnumyard.schema._generated.settings import LimitSettings

BACKLOG = 2048
KEEP_ALIVE_S = 75
CLOSE_HEADER = (b'connection', b'close')


class HttpServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the daemon has its own."""
        yield

    def disable_keep_alive(self) -> None:
        """Close each connection with its next answer, which says so."""
        self.config.encoded_headers.append(CLOSE_HEADER)
        # The server renews its own copy once a second.
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
        """Whether every answer has left this process."""
        return not any(
            connection.transport.get_write_buffer_size()
            for connection in self.server_state.connections
        )


def make_server(
    app: Any,
    address: str,
    limits: LimitSettings,
) -> HttpServer:
    """Return a server of an ASGI application, not yet started.

    Parameters
    ----------
    app
        The ASGI application.
    address
        IP number and port.
    limits
        Bounds on the head of a request.
    """
    host, _, port = address.rpartition(':')
    return HttpServer(
        uvicorn.Config(
            app,
            host=host,
            port=int(port),
            http=partial(CallerProtocol, limits),
            ws='none',
            lifespan='off',
            interface='asgi3',
            access_log=False,
            log_config=None,
            log_level='error',
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_S,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        ),
    )
