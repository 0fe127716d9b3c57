"""A uvicorn server inside the daemon's own loop."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn

BACKLOG = 2048
KEEP_ALIVE_S = 75


class HttpServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the daemon has its own."""
        yield


def make_server(app: Any, address: str, header_bytes: int) -> HttpServer:
    """Return a server of an ASGI application, not yet started.

    Parameters
    ----------
    app
        The ASGI application.
    address
        IP number and port.
    header_bytes
        The largest head of a request, in bytes.
    """
    host, _, port = address.rpartition(':')
    return HttpServer(
        uvicorn.Config(
            app,
            host=host,
            port=int(port),
            http='httptools',
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
            h11_max_incomplete_event_size=header_bytes,
        ),
    )
