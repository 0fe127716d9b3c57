"""Server for links opened by other daemons."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from laburnumyard.schema._generated import messages
from laburnumyard.wire._connection import Connection
from laburnumyard.wire._errors import LinkErrorKind
from laburnumyard.wire._framing import FrameError
from laburnumyard.wire._settings import DEFAULT_LINK_SETTINGS, LinkSettings

# Gets the link, whose `remote` is the sender, and the message. It may respond
# by `link.send`, immediately or later.
Handler = Callable[['IncomingLink', messages.Message], Awaitable[None] | None]
# Returns whether a daemon may connect; rejects stale incarnations.
Admission = Callable[[messages.Hello], bool]


def admit_all(hello: messages.Hello) -> bool:
    """Admit every daemon."""
    return True


class IncomingLink(Connection):
    """A link opened by another daemon.

    Parameters
    ----------
    server
        The server that owns the link.
    """

    def __init__(self, server: 'LinkServer') -> None:
        """Register the link with the server."""
        super().__init__(server.identity, server.settings)
        self.server = server
        self.on_closed.append(server.links.discard)
        server.links.add(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reject the link if the server is at its limit."""
        limit = self.settings.incoming_links
        if len(self.server.links) > limit:
            self.close(LinkErrorKind.TOO_MANY_LINKS, f'more than {limit} links')
        super().connection_made(transport)

    def check_hello(self, hello: messages.Hello) -> None:
        """Reject a daemon that is not admitted."""
        if not self.server.admits(hello):
            raise FrameError(
                LinkErrorKind.WRONG_PEER,
                f'{hello.daemon} incarnation {hello.incarnation} is rejected',
            )

    def handle(self, message: messages.Message) -> None:
        """Call the message handler; its exceptions do not close the link."""
        if isinstance(message, messages.Pong):
            return
        try:
            work = self.server.on_message(self, message)
        except Exception:
            logger.exception('event=handler-failed peer={}', self.remote.daemon)
            return
        if work is not None:
            self.server.start(work)


class LinkServer:
    """Accepts links from other daemons.

    Parameters
    ----------
    address
        ``IP:PORT`` to listen on, such as ``127.0.0.1:7000``.
    identity
        The hello message of this daemon.
    on_message
        Handler that gets the link and each message received on it.
    admits
        Returns whether a daemon may connect.
    settings
        Limits and intervals of links.

    Examples
    --------
    ``async with LinkServer('127.0.0.1:7000', hello, take): ...``
    """

    def __init__(
        self,
        address: str,
        identity: messages.Hello,
        on_message: Handler,
        admits: Admission = admit_all,
        settings: LinkSettings = DEFAULT_LINK_SETTINGS,
    ) -> None:
        """Create the server; entering its context starts listening."""
        self.address = address
        self.identity = identity
        self.on_message = on_message
        self.admits = admits
        self.settings = settings
        self.links: set[Connection] = set()
        self.tasks: set[asyncio.Future[None]] = set()
        self.listener: asyncio.Server | None = None

    async def __aenter__(self) -> 'LinkServer':
        """Start listening; ``address`` then has the bound port."""
        loop = asyncio.get_running_loop()
        host, port = self.address.rsplit(':', 1)
        self.listener = await loop.create_server(
            lambda: IncomingLink(self),
            host,
            int(port),
        )
        bound = self.listener.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'
        self.sweeper = loop.create_task(self.sweep())
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close the listener and the links, and cancel running handlers."""
        self.sweeper.cancel()
        self.listener.close()
        for link in tuple(self.links):
            link.close(LinkErrorKind.CLOSED, 'the daemon is shutting down')
        for task in tuple(self.tasks):
            task.cancel()

    @property
    def held_bytes(self) -> int:
        """Bytes of frames that the links hold."""
        return sum(link.held_bytes for link in self.links)

    def start(self, work: Awaitable[None]) -> None:
        """Run an asynchronous handler in a background task."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.finish)

    def finish(self, task: 'asyncio.Future[None]') -> None:
        """Log the exception of a handler."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logger.opt(exception=task.exception()).error('event=handler-failed')

    async def sweep(self) -> None:
        """Periodically close links without a hello or without activity."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.settings.sweep_interval_s)
            for link in tuple(self.links):
                self.check(link, loop.time())

    def check(self, link: Connection, now: float) -> None:
        """Close a link that sent no hello or was inactive for too long."""
        quiet = now - link.received_at
        if link.remote is None and quiet >= self.settings.connect_timeout_s:
            link.close(LinkErrorKind.TIMEOUT, 'no hello before the deadline')
        elif quiet >= 2 * self.settings.idle_close_after_s:
            link.close(LinkErrorKind.IDLE, f'unused for {quiet:.1f} s')
