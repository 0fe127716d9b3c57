"""HTTP transport of grants and releases to targets."""

import json
from collections import deque
from http import HTTPStatus
from types import MappingProxyType

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.shards import Grant, Reply, TargetOrder
from laburnumyard.gateway._platform_interface import OrderReply
from laburnumyard.platform._document_fields import MS_PER_SECOND
from laburnumyard.platform._wire_format import (
    EXPECT_INSTANCE_HEADER,
    INSTANCE_ID_HEADER,
    NOT_EXECUTED_HEADER,
)
from laburnumyard.transport import (
    TargetEndpoint,
    TargetRequest,
    TargetResponse,
)

GRANT_PATH = '/-/grant'
RELEASE_PATH = '/-/release'
# Replies that a faulty target could still repeat; each is a token.
MAX_HANDOVERS = 1024
HANDOVER_HEADER = 'laburnumyard-handover'
JSON_HEADER = ('content-type', 'application/json')
REPLIES_BY_STATUS = MappingProxyType(
    {
        HTTPStatus.OK: Reply.DONE,
        HTTPStatus.BAD_REQUEST: Reply.REJECTED,
        HTTPStatus.NOT_FOUND: Reply.GONE,
        HTTPStatus.CONFLICT: Reply.FENCED,
        HTTPStatus.MISDIRECTED_REQUEST: Reply.GONE,
    }
)


class PlatformOrders:
    """Sends grants and releases over persistent connections."""

    def __init__(self) -> None:
        """Create the object without connections."""
        self.endpoints: dict[str, TargetEndpoint] = {}
        # Handover tokens of the latest replies, of all targets.
        self.handovers: deque[str] = deque(maxlen=MAX_HANDOVERS)

    async def send(
        self,
        order: TargetOrder,
        address: str,
        timeout_s: Seconds,
        *,
        may_reconnect: bool = True,
    ) -> OrderReply:
        """Send an order and return the reply."""
        endpoint = self.endpoints.setdefault(address, TargetEndpoint(address))
        exchange_result = await endpoint.exchange(
            _encode(order),
            timeout_s,
            may_reconnect=may_reconnect,
            identifies=self.is_new_handover if order.frees_keys else None,
        )
        if exchange_result.is_ok():
            token = exchange_result.ok.header(HANDOVER_HEADER)
            if token:
                self.handovers.append(token)
            return _decode_reply(exchange_result.ok, order.life.target)
        # A refused connection does not prove that the target has ended: a
        # faulty network may refuse connections to a live one.
        return OrderReply(Reply.UNKNOWN, detail=exchange_result.error.detail)

    def is_new_handover(self, response: TargetResponse) -> bool:
        """Whether a response belongs to a release that had none before.

        Each reply to a release has a handover token of its own; one to a grant
        has none.
        """
        token = response.header(HANDOVER_HEADER)
        return bool(token) and token not in self.handovers


def _encode(order: TargetOrder) -> TargetRequest:
    # On the wire, `target` is the last key of the range and `fence` is the
    # fencing token.
    body: dict[str, object] = {
        'from': order.first,
        'target': order.last,
        'fence': order.token,
    }
    path = RELEASE_PATH
    if isinstance(order, Grant):
        path = GRANT_PATH
        body['holdMs'] = int(order.hold_s * MS_PER_SECOND)
        if order.handover:
            body['handover'] = order.handover
    headers = (JSON_HEADER, (EXPECT_INSTANCE_HEADER, order.life.target))
    return TargetRequest('POST', path, headers, json.dumps(body).encode())


def _decode_reply(answer: TargetResponse, target: TargetId) -> OrderReply:
    instance = answer.header(INSTANCE_ID_HEADER) or target
    if instance != target:
        return OrderReply(Reply.GONE, detail=f'response from {instance}')
    reply = REPLIES_BY_STATUS.get(answer.status, Reply.UNKNOWN)
    if reply is Reply.REJECTED and NOT_EXECUTED_HEADER in dict(answer.headers):
        # The order was taken for a request without an id: the process at the
        # address takes no orders, so the target has ended.
        reply = Reply.GONE
    return OrderReply(
        reply,
        answer.header(HANDOVER_HEADER),
        f'status {answer.status}',
    )
