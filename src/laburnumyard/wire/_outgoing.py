"""A link opened by this daemon and its pending requests."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from expression import Error, Result

from laburnumyard.core.fast_results import ok
from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.schema._generated import messages
from laburnumyard.wire._connection import Connection
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._framing import FrameError, encode_frame
from laburnumyard.wire._queue import OutgoingFrame
from laburnumyard.wire._settings import LinkSettings

# Number of the keepalive pings, distinct from those of requests.
PROBE_NUMBER = 0
# Prefix for peers known by address only; VM names contain no colon.
UNNAMED_PREFIX = 'address:'
# Requests that hold resources at the peer until they are cancelled.
CANCELLABLE = (messages.Submit, messages.Ask)

ResponseResult = Result[messages.Message, LinkError]


class Destination(Protocol):
    """The expected peer of a link."""

    daemon: DaemonName
    address: str
    incarnation: Incarnation | None


@dataclass(slots=True, eq=False)
class Pending:
    """A request that waits for its response.

    Parameters
    ----------
    number
        The number of the request on its link.
    outgoing
        The frame of the request.
    is_cancellable
        Whether the peer gets a Cancel if the caller stops waiting.
    answer
        Future of the response or the error.
    """

    number: int
    outgoing: OutgoingFrame
    is_cancellable: bool
    answer: 'asyncio.Future[ResponseResult]'

    def fail(self, kind: LinkErrorKind, detail: str) -> None:
        """Complete the request with an error."""
        if not self.answer.done():
            left = self.outgoing.is_written
            self.answer.set_result(Error(LinkError(kind, detail, left)))


class OutgoingLink(Connection):
    """A link to one incarnation of one daemon.

    Request numbers are unique per link, so a response is matched only to its
    own request; a response to a finished request is dropped and counted.

    Parameters
    ----------
    identity
        The hello message of this daemon.
    settings
        Limits and intervals of links.
    destination
        The expected peer.
    """

    def __init__(
        self,
        identity: messages.Hello,
        settings: LinkSettings,
        destination: Destination,
    ) -> None:
        """Start unconnected and without requests."""
        super().__init__(identity, settings)
        self.destination = destination
        self.pending: dict[int, Pending] = {}
        self.last_number = 0
        self.dropped_answers = 0
        self.has_received_response = False
        self.used_at = self.received_at
        self.opened_at = self.received_at
        self.on_closed.append(OutgoingLink.fail_pending)

    def start(self) -> None:
        """Start connecting in a background task."""
        self.connecting = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Connect; close the link if that fails."""
        host, port = self.destination.address.rsplit(':', 1)
        try:
            await self.loop.create_connection(lambda: self, host, int(port))
        except OSError as error:
            self.close(LinkErrorKind.CONNECT_FAILED, str(error))

    def send(self, message: messages.Message) -> Result[None, LinkError]:
        """Queue a message without waiting."""
        self.used_at = self.loop.time()
        return super().send(message)

    def send_request(self, message: messages.Message) -> Pending:
        """Queue a request with a new number."""
        self.used_at = self.loop.time()
        self.last_number += 1
        number = self.last_number
        pending = Pending(
            number,
            OutgoingFrame(encode_frame(message, number)),
            isinstance(message, CANCELLABLE),
            self.loop.create_future(),
        )
        queued = self.put(message, pending.outgoing)
        if queued.is_error():
            pending.fail(queued.error.kind, queued.error.detail)
            return pending
        self.pending[number] = pending
        return pending

    def expire(self, pending: Pending) -> None:
        """Fail a request whose deadline has passed."""
        pending.fail(LinkErrorKind.TIMEOUT, 'no response before the deadline')

    def abandon(self, pending: Pending) -> None:
        """Remove a request from the queue, or cancel it if it was sent."""
        if self.pending.pop(pending.number, None) is None:
            return
        pending.outgoing.is_withdrawn = True
        if pending.outgoing.is_written and pending.is_cancellable:
            self.send(messages.Cancel(number=pending.number))

    def check(self, now: float) -> None:
        """Close an unused or unresponsive link; ping an inactive one."""
        if self.remote is None:
            if now - self.opened_at >= self.settings.connect_timeout_s:
                self.close(
                    LinkErrorKind.CONNECT_FAILED, 'no hello before the deadline'
                )
        elif now - self.used_at >= self.settings.idle_close_after_s:
            if not self.pending:
                self.close(LinkErrorKind.IDLE, 'unused')
        elif self.pending:
            self.check_alive(now, self.settings.probe_after_s)
        else:
            self.check_alive(now, self.settings.idle_probe_after_s)

    def close(self, kind: LinkErrorKind, detail: str = '') -> None:
        """Close the link and stop connecting."""
        super().close(kind, detail)
        if not self.transport:
            self.connecting.cancel()

    def check_hello(self, hello: messages.Hello) -> None:
        """Reject an unexpected daemon or incarnation."""
        expected = self.destination
        # A peer known by address only may have any name.
        is_named = not expected.daemon.startswith(UNNAMED_PREFIX)
        is_right = hello.daemon == expected.daemon or not is_named
        if expected.incarnation is not None:
            is_right = is_right and hello.incarnation == expected.incarnation
        if not is_right:
            raise FrameError(
                LinkErrorKind.WRONG_PEER,
                f'{hello.daemon} incarnation {hello.incarnation} responded '
                f'instead of {expected}',
            )

    def handle(self, message: messages.Message) -> None:
        """Complete the request of a response; drop one without a request."""
        self.has_received_response = True
        number = getattr(message, 'number', PROBE_NUMBER)
        pending = self.pending.pop(number, None)
        if pending is None:
            self.dropped_answers += number != PROBE_NUMBER
        elif not pending.answer.done():
            pending.answer.set_result(ok(message))

    @staticmethod
    def fail_pending(link: 'OutgoingLink') -> None:
        """Fail all requests; each error tells whether its request was sent."""
        reason = link.closed_by
        for pending in tuple(link.pending.values()):
            pending.fail(reason.kind, reason.detail)
        link.pending.clear()
