"""What the gateway needs from a platform, whichever it runs on."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, Protocol

from expression import Result

from laburnumyard.core.directory import TargetRecord
from laburnumyard.core.ids import AttemptId, Seconds, ShardKey, TargetId
from laburnumyard.core.routes import RouteTable
from laburnumyard.core.shards import Order, Reply

# A lease of the store; keys that are written under it vanish with it.
SessionId = NewType('SessionId', int)
NO_SESSION = SessionId(0)


class StoreFault(Enum):
    """Why a call to the store has no result."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'
    MALFORMED = 'malformed'
    CONFLICT = 'conflict'
    # Changes since the named revision are no longer kept.
    HISTORY_GONE = 'history-gone'
    SESSION_ENDED = 'session-ended'


@dataclass(frozen=True, slots=True)
class StoreError:
    """A call without a result.

    Parameters
    ----------
    fault
        Why.
    may_apply
        Whether a write may have taken effect, or may yet.
    detail
        What was met.
    """

    fault: StoreFault
    may_apply: bool = False
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store.

    Parameters
    ----------
    key
        Its name.
    content
        Its bytes, None if it was removed.
    revision
        The revision of its last change.
    """

    key: str
    content: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Items and the revision up to which they are complete."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A write that happens as a whole, and only under its conditions.

    Parameters
    ----------
    expected
        The revision of each key that is a condition; 0 means no such key.
    puts
        New contents.
    session
        The session of the new contents.
    """

    expected: Mapping[str, int]
    puts: Mapping[str, bytes]
    session: SessionId = NO_SESSION


class MetadataStore(Protocol):
    """The platform's key-value store."""

    async def read(
        self, key: str, *, may_lag: bool = False
    ) -> Result[Item, StoreError]:
        """Return an item; its content is None where there is none.

        One that may lag behind by seconds is cheaper.
        """

    async def scan(self, prefix: str) -> Result[Changes, StoreError]:
        """Return all items under a prefix."""

    async def watch(
        self, prefix: str, after: int, wait_s: Seconds
    ) -> Result[Changes, StoreError]:
        """Return the changes after a revision, waiting for the first."""

    async def compare_and_swap(
        self, write: ConditionalWrite
    ) -> Result[int, StoreError]:
        """Write under conditions and return the revision of the write."""

    async def open_session(
        self, ttl_s: Seconds
    ) -> Result[SessionId, StoreError]:
        """Open a session."""

    async def renew_session(
        self, session: SessionId
    ) -> Result[None, StoreError]:
        """Renew a session."""

    async def close_session(
        self, session: SessionId
    ) -> Result[None, StoreError]:
        """End a session and remove its keys."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """What a target answered to an order about its keys."""

    reply: Reply
    handover: str = ''
    detail: str = ''


class TargetOrders(Protocol):
    """Gives targets orders about the keys that they hold."""

    async def send(
        self, order: Order, address: str, timeout_s: Seconds
    ) -> OrderReply:
        """Send an order and return the reply."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the gateway reads from a request's own headers.

    Parameters
    ----------
    attempt_id
        The caller's name for the request; empty where it gave none.
    deadline_s
        How long the caller waits, in seconds; None where it does not say.
    key
        The key; None where it names none.
    """

    attempt_id: AttemptId
    deadline_s: Seconds | None
    key: ShardKey | None


Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class SendContext:
    """What the gateway tells a target about a request.

    Parameters
    ----------
    target
        The only target that may run it.
    time_left_s
        How long it may run, in seconds.
    """

    target: TargetId
    time_left_s: Seconds


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What the gateway reads from a target's answer.

    Parameters
    ----------
    attempt_id
        The request that it answers; empty where it names none.
    is_not_run
        Whether the target says that it did not start the request.
    is_signed
        Whether it bears the signature of a target.
    answerer
        Which target refuses a request meant for another, None where the
        answer does not say.
    idle_limit_s
        How long the target keeps the connection, None where it says nothing.
    """

    attempt_id: AttemptId
    is_not_run: bool
    is_signed: bool
    responder: TargetId | None = None
    idle_limit_s: Seconds | None = None


class WireFormat(Protocol):
    """The names and formats that callers, targets and entries use."""

    config_key: str
    target_prefix: str
    health_path: str

    def read_request_head(self, headers: Headers) -> RequestHead:
        """Return what a request says of itself."""

    def write_send_headers(
        self, headers: Headers, send_context: SendContext
    ) -> Headers:
        """Return the headers to send to a target."""

    def read_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return what an answer says of itself."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, str]:
        """Return the route table of the operator's document."""

    def decode_target(
        self, key: str, content: bytes
    ) -> Result[TargetRecord, str]:
        """Return the record of a target's own entry."""


@dataclass(frozen=True, slots=True)
class Platform:
    """Everything that one platform provides."""

    store: MetadataStore
    orders: TargetOrders
    wire_format: WireFormat = field()
