"""A proxy on loopback one of whose connections goes silent for good."""

import asyncio
from contextlib import asynccontextmanager

METHODS = (b'GET ', b'PUT ')
CHUNK_BYTES = 65536


class SilencingProxy:
    """Passes requests on; at one of them its connection goes silent.

    From then on that connection swallows what comes on it, and nobody is
    told; connections that are opened later work.

    Parameters
    ----------
    upstream
        Where the requests go.
    silent_at
        The number of the request at which the connection goes silent.
    passes_last
        Whether that request still arrives, so that its answer is swallowed.
    """

    def __init__(self, upstream, silent_at, passes_last):
        self.upstream = upstream
        self.silent_at = silent_at
        self.passes_last = passes_last
        self.requests = 0
        self.connections = 0
        self.swallowed = 0
        # The connection that has gone silent.
        self.silent = None

    @asynccontextmanager
    async def listening(self):
        """Give the address of the proxy while it serves."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        yield f'{host}:{port}'
        server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        host, _, port = self.upstream.rpartition(':')
        source, sink = await asyncio.open_connection(host, int(port))
        answers = asyncio.create_task(self.pass_answers(source, writer))
        while chunk := await reader.read(CHUNK_BYTES):
            if self.passes(chunk, writer):
                sink.write(chunk)
            else:
                self.swallowed += 1
        answers.cancel()
        sink.close()
        writer.close()

    def passes(self, chunk, writer):
        """Count a request, and tell whether a part of it arrives."""
        self.requests += chunk.startswith(METHODS)
        if self.requests == self.silent_at and self.silent is None:
            self.silent = writer
        is_last = self.requests == self.silent_at
        return self.silent is not writer or (is_last and self.passes_last)

    async def pass_answers(self, source, writer):
        while chunk := await source.read(CHUNK_BYTES):
            if self.silent is writer:
                self.swallowed += 1
            else:
                writer.write(chunk)
