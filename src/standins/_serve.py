"""Serve an ASGI application on one loop, quietly."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from standins._asgi import Application

KEEP_ALIVE_S = 600
BACKLOG = 2048
POLL_S = 0.001


def parse_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def bind(address: str) -> socket.socket:
    """Return a listening socket on ``IP:PORT``."""
    # asyncio sets TCP_NODELAY only where the protocol is named.
    listener = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def build_server(application: Application) -> uvicorn.Server:
    """Return a server that logs nothing but errors."""
    return uvicorn.Server(
        uvicorn.Config(
            application,
            http=HttpToolsProtocol,
            loop='asyncio',
            ws='none',
            lifespan='off',
            access_log=False,
            log_level='error',
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=1,
        ),
    )


def run(application: Application, address: str) -> None:
    """Serve until the process is told to stop."""
    # Not uvloop: its libuv opens an io_uring, with its switch off too.
    anyio.run(_serve, application, address)


async def _serve(application: Application, address: str) -> None:
    await build_server(application).serve(sockets=[bind(address)])


@asynccontextmanager
async def serving(
    application: Application,
    address: str = '127.0.0.1:0',
) -> AsyncIterator[str]:
    """Serve inside the running loop and yield the bound ``IP:PORT``.

    The server is stopped without grace when the context ends.
    """
    listener = bind(address)
    host, port = listener.getsockname()
    server = build_server(application)
    async with anyio.create_task_group() as tasks:
        # Unlike serve(), this leaves the process its signal handlers.
        tasks.start_soon(server._serve, [listener])
        while not server.started:  # noqa: ASYNC110
            await anyio.sleep(POLL_S)
        try:
            yield f'{host}:{port}'
        finally:
            stop(server)
            tasks.cancel_scope.cancel()


def stop(server: uvicorn.Server) -> None:
    """Close the listener and abort each connection."""
    for listening in server.servers:
        listening.close()
    for connection in tuple(server.server_state.connections):
        connection.transport.abort()
