"""Asks peers to serve requests while this gateway reaches no target."""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._http_messages import (
    CallerRequest,
    CallerResponse,
    RequestResult,
    refuse_request,
)
from laburnumyard.gateway._platform_interface import RequestHead
from laburnumyard.gateway._relay_messages import (
    TARGETS_LOST,
    decode_answer,
    encode_request,
)
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_decision
from laburnumyard.transport import FINAL_STATUSES
from laburnumyard.wire import LinkErrorKind, LinkPool, Peer, ResponseResult

# Reserved for the round trip to a peer, so that its answer arrives before the
# deadline.
ROUND_TRIP_S = 0.03
# A peer that reaches no target, or is not reached, is not asked for this long.
REJECTION_S = 1.0
# Peers that are asked for one request.
MAX_PEERS = 4
# Delay before a caller may come back if no peer is left; links that were cut
# are probed several times meanwhile.
RETRY_AFTER_S = 0.5
# Peers among which the one with the fewest requests is taken.
CHOICES = 4
# Requests that a coordinator must have fewer of than other peers to be asked:
# all gateways depend on it.
COORDINATOR_HANDICAP = 2

_LATE = RequestResult(CallerResponse(HTTPStatus.GATEWAY_TIMEOUT), 'timeout')
_BROKE_OFF = RequestResult(
    CallerResponse(HTTPStatus.BAD_GATEWAY), 'peer-broke-off'
)


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
        Returns the gateways that read the store, as the settings and the
        coordinators tell.
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
            The request and its parsed fields; it has not run, or may run twice.
        expires_at
            Time after which a response is useless.
        is_repeatable
            Whether the request may run twice.
        """
        asked: set[str] = set()
        if len(request.body) > self.pool.settings.body_bytes:
            # No frame has room for it; it would be encoded in vain.
            return refuse_request('too-large-to-relay', RETRY_AFTER_S)
        failed = refuse_request(TARGETS_LOST, RETRY_AFTER_S)
        peer = self.choose_peer(asked)
        while peer is not None and expires_at - boot_time() > ROUND_TRIP_S:
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
        left_s = expires_at - boot_time()
        message = encode_request(
            request, head.attempt_id, Seconds(left_s - ROUND_TRIP_S)
        )
        self.in_flight[peer.address] += 1
        try:
            # The answer of a peer that is late tells more than a timeout here.
            timeout_s = left_s + ROUND_TRIP_S
            reply = await self.pool.request(peer, message, timeout_s)
        finally:
            self.in_flight[peer.address] -= 1
        answer = _read_reply(reply)
        is_answered = isinstance(answer, RequestResult)
        log_decision(
            Event.RELAYED,
            request=head.attempt_id,
            peer=peer.daemon,
            outcome=answer.reason if is_answered else answer,
        )
        return answer

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


def _read_reply(reply: ResponseResult) -> RequestResult | NoAnswer:
    """Return the result in a peer's reply, or what is known without one."""
    if reply.is_ok():
        if not isinstance(reply.ok, messages.SubmitAnswer):
            return NoAnswer.UNKNOWN
        return _read_answer(reply.ok)
    if not reply.error.may_have_been_sent:
        return NoAnswer.NOT_RUN
    if reply.error.kind is LinkErrorKind.TIMEOUT:
        return _LATE
    return NoAnswer.UNKNOWN


def _read_answer(answer: messages.SubmitAnswer) -> RequestResult | NoAnswer:
    if answer.kind == TARGETS_LOST:
        return NoAnswer.NOT_RUN
    if answer.status not in FINAL_STATUSES:
        # A peer of an earlier version passes on what its target sent.
        return NoAnswer.UNKNOWN
    return decode_answer(answer)
