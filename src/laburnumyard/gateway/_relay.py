"""Forwards requests through a peer while this gateway reaches no target."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from enum import Enum
from http import HTTPStatus

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.core.reachability import TargetReach
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._http_messages import (
    CallerRequest,
    CallerResponse,
    RequestResult,
    refuse_request,
)
from laburnumyard.gateway._platform_interface import RequestHead, WireFormat
from laburnumyard.schema._generated import messages
from laburnumyard.wire import Connection, LinkErrorKind, LinkPool, Peer

MS_PER_SECOND = 1000
# Part of the time left that the ways to a peer and back may take, so that its
# answer arrives before the deadline.
WAY_S = 0.03
# Answer of a peer that reaches no target either, or is about to stop.
TARGETS_LOST = 'targets-lost'
# A peer that reaches no target, or is not reached, is not asked for this long.
REJECTION_S = 1.0
# Peers that are asked for one request.
MAX_PEERS = 4
# Delay before a caller may come back if no peer is left; links that were cut
# are probed several times meanwhile.
RETRY_AFTER_S = 0.5
# Peers among which the one with the fewest requests is taken.
CHOICES = 4
# A coordinator is taken only if the others have so many more requests: it works
# for all gateways, and ends their service if it cannot keep up.
COORDINATOR_HANDICAP = 2

_LATE = RequestResult(CallerResponse(HTTPStatus.GATEWAY_TIMEOUT), 'timeout')
_BROKE_OFF = RequestResult(
    CallerResponse(HTTPStatus.BAD_GATEWAY), 'peer-broke-off'
)

Process = Callable[[CallerRequest, RequestHead], Awaitable[RequestResult]]


class NoAnswer(Enum):
    """What is known of a request for which a peer returned no result."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RelayClient:
    """Asks peers to serve requests.

    Parameters
    ----------
    view
        Known gateways.
    pool
        Links to them.
    readers
        Returns the gateways that are known from the settings.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: LinkPool,
        readers: Callable[[], list[Peer]],
    ) -> None:
        """Create a client that has rejected no peer."""
        self.view = view
        self.pool = pool
        self.readers = readers
        self.rejected_until: dict[str, Seconds] = {}
        self.in_flight: Counter[str] = Counter()

    async def serve(
        self,
        request: CallerRequest,
        head: RequestHead,
        expires_at: Seconds,
        *,
        is_repeatable: bool,
    ) -> RequestResult:
        """Return the result of a request that a peer serves.

        Parameters
        ----------
        request, head
            The request, which has not run here, and its parsed fields.
        expires_at
            Time after which a response is useless.
        is_repeatable
            Whether the request may run twice.
        """
        asked: set[str] = set()
        failed = refuse_request(TARGETS_LOST, RETRY_AFTER_S)
        peer = self.choose_peer(asked)
        while peer is not None and expires_at > boot_time():
            asked.add(peer.address)
            answer = await self.ask(peer, request, head, expires_at)
            if isinstance(answer, RequestResult):
                return answer
            self.reject(peer)
            if answer is NoAnswer.UNKNOWN:
                # From here on, a refusal could be untrue.
                failed = _BROKE_OFF
                if not is_repeatable:
                    break
            peer = self.choose_peer(asked)
        return failed

    async def ask(
        self,
        peer: Peer,
        request: CallerRequest,
        head: RequestHead,
        expires_at: Seconds,
    ) -> 'RequestResult | NoAnswer':
        """Send a request to a peer, and return its result if it has one."""
        left_s = max(0, expires_at - boot_time())
        message = messages.Submit(
            number=0,
            request_id=head.attempt_id,
            service='',
            target='',
            customer='',
            key='',
            method=request.method,
            path=request.path,
            headers=tuple(
                messages.Header(name, text) for name, text in request.headers
            ),
            body=request.body,
            deadline_ms=int(max(0, left_s - WAY_S) * MS_PER_SECOND),
            repeatable=False,
            ticket='',
            hops=1,
        )
        self.in_flight[peer.address] += 1
        try:
            reply = await self.pool.request(peer, message, left_s + WAY_S)
        finally:
            self.in_flight[peer.address] -= 1
        if reply.is_error() and not reply.error.may_have_been_sent:
            return NoAnswer.NOT_RUN
        if reply.is_error() and reply.error.kind is LinkErrorKind.TIMEOUT:
            return _LATE
        if reply.is_error() or not isinstance(reply.ok, messages.SubmitAnswer):
            return NoAnswer.UNKNOWN
        if reply.ok.kind == TARGETS_LOST:
            return NoAnswer.NOT_RUN
        return _decode_answer(reply.ok)

    def choose_peer(self, asked: set[str]) -> Peer | None:
        """Return a peer with few requests of this gateway, None without one."""
        if len(asked) >= MAX_PEERS:
            return None
        now = boot_time()
        peers = [
            peer
            for peer in self.peers()
            if peer.address not in asked
            and self.rejected_until.get(peer.address, 0) <= now
        ]
        if not peers:
            return None
        chosen = random.sample(peers, min(CHOICES, len(peers)))
        return min(chosen, key=self.load_of)

    def load_of(self, peer: Peer) -> int:
        """Return the requests of this gateway at a peer, for comparison."""
        load = self.in_flight[peer.address]
        coordinators = self.view.coordinators.values()
        if any(each.member.address == peer.address for each in coordinators):
            return load + COORDINATOR_HANDICAP
        return load

    def peers(self) -> list[Peer]:
        """Return all known gateways but this one."""
        known = {peer.address: peer for peer in self.readers()}
        for member in self.view.members.values():
            known[member.address] = Peer(member.name, member.address)
        known.pop(self.pool.identity.peer_address, None)
        return list(known.values())

    def reject(self, peer: Peer) -> None:
        """Ask other peers for a while."""
        self.rejected_until[peer.address] = Seconds(boot_time() + REJECTION_S)


class RelayServer:
    """Serves the requests of gateways that reach no target.

    Parameters
    ----------
    wire_format
        Format of headers.
    process
        Routes a request without relaying it once more.
    reach
        Whether this gateway reaches targets itself.
    """

    def __init__(
        self, wire_format: WireFormat, process: Process, reach: TargetReach
    ) -> None:
        """Create a server without requests."""
        self.wire_format = wire_format
        self.process = process
        self.reach = reach
        self.active: dict[Connection, dict[int, anyio.CancelScope]] = {}
        self.is_leaving = False
        # Set and replaced when a request ends.
        self.ended = anyio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request of a peer is in progress."""
        while any(self.active.values()):
            await self.ended.wait()

    async def serve(self, link: Connection, message: messages.Submit) -> None:
        """Serve a request of a peer until it ends or is cancelled."""
        if self.reach.is_lost or self.is_leaving:
            link.send(_encode_answer(message.number, TARGETS_LOST))
            return
        scopes = self.active.get(link)
        if scopes is None:
            scopes = {}
            self.active[link] = scopes
            link.on_closed.append(self.cancel_link)
        with anyio.CancelScope() as scope:
            scopes[message.number] = scope
            link.send(await self.answer(message))
        scopes.pop(message.number, None)
        self.ended.set()
        self.ended = anyio.Event()

    async def answer(self, message: messages.Submit) -> messages.SubmitAnswer:
        """Route a request of a peer and return the answer."""
        request = CallerRequest(
            message.method,
            message.path,
            _host_of(message),
            tuple((row.name, row.value) for row in message.headers),
            message.body,
            boot_time(),
        )
        head = replace(
            self.wire_format.read_request_head(request.headers),
            deadline_s=Seconds(message.deadline_ms / MS_PER_SECOND),
        )
        result = await self.process(request, head)
        return _encode_answer(message.number, result.reason, result.response)

    def cancel(self, link: Connection, number: int) -> None:
        """Stop a request that the peer no longer waits for."""
        scope = self.active.get(link, {}).get(number)
        if scope is not None:
            scope.cancel()

    def cancel_link(self, link: Connection) -> None:
        """Stop all requests of a peer whose link closed."""
        for scope in self.active.pop(link, {}).values():
            scope.cancel()


def _host_of(message: messages.Submit) -> str:
    for header in message.headers:
        if header.name == 'host':
            return header.value
    return ''


def _decode_answer(answer: messages.SubmitAnswer) -> RequestResult:
    response = CallerResponse(
        answer.status,
        tuple((row.name, row.value) for row in answer.headers),
        answer.body,
    )
    return RequestResult(response, answer.kind)


def _encode_answer(
    number: int, kind: str, response: CallerResponse | None = None
) -> messages.SubmitAnswer:
    if response is None:
        return messages.SubmitAnswer(number, kind, '', 0, (), b'')
    headers = tuple(
        messages.Header(name, text) for name, text in response.headers
    )
    return messages.SubmitAnswer(
        number, kind, '', int(response.status), headers, response.body
    )
