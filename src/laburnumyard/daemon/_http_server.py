"""HTTP server: uvicorn inside the daemon's event loop."""

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
    """A uvicorn server that leaves signal handling to the daemon."""

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


def make_server(
    app: Any,
    address: str,
    limits: LimitSettings,
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
