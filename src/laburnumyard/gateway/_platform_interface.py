"""Interface between the gateway and the platform it runs on."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, Protocol

from expression import Result

from laburnumyard.core.ids import AttemptId, Seconds, ShardKey, TargetId
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import NO_LIMIT, LimitStatement
from laburnumyard.core.routes import RouteTable
from laburnumyard.core.shards import Reply, TargetOrder
from laburnumyard.core.target_directory import TargetRecord

# Identifier of a store lease; keys attached to it are removed when it ends.
SessionId = NewType('SessionId', int)
NO_SESSION = SessionId(0)


class StoreFault(Enum):
    """Why a store call failed."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'
    MALFORMED = 'malformed'
    CONFLICT = 'conflict'
    # The store has compacted the changes since the given revision.
    HISTORY_GONE = 'history-gone'
    SESSION_ENDED = 'session-ended'


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed store call.

    Parameters
    ----------
    fault
        Kind of failure.
    may_apply
        Whether the write may have been applied or may still be.
    detail
        Text for logs.
    """

    fault: StoreFault
    may_apply: bool = False
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store at one revision.

    Parameters
    ----------
    key
        Name of the key.
    content
        Value, None if the key was removed.
    revision
        Revision of the last change, with its era.
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
    """An atomic multi-key write with compare conditions.

    Parameters
    ----------
    expected
        Required revision by key; 0 requires that the key does not exist.
    puts
        New value by key.
    session
        Session that the new keys are attached to.
    """

    expected: Mapping[str, int]
    puts: Mapping[str, bytes]
    session: SessionId = NO_SESSION


class MetadataStore(Protocol):
    """The platform's key-value store.

    Attributes
    ----------
    era
        Highest era that a response stated; 0 if unknown.
    on_restored
        Called with the number of the new era when the store has come back from
        an older copy.
    """

    era: int
    on_restored: list[Callable[[int], None]]

    async def read(
        self, key: str, *, may_lag: bool = False
    ) -> Result[Item, StoreError]:
        """Return an item; ``content`` is None if the key does not exist.

        A read with ``may_lag`` may be seconds old and is cheaper.
        """

    async def scan(self, prefix: str) -> Result[Changes, StoreError]:
        """Return all items under a prefix."""

    async def watch(
        self, prefix: str, after: int, wait_s: Seconds
    ) -> Result[Changes, StoreError]:
        """Wait for changes after a revision and return them."""

    async def compare_and_swap(
        self, write: ConditionalWrite
    ) -> Result[int, StoreError]:
        """Apply a conditional write and return its revision."""

    async def open_session(
        self, ttl_s: Seconds
    ) -> Result[SessionId, StoreError]:
        """Open a session with a time to live of ``ttl_s``."""

    async def renew_session(
        self, session: SessionId
    ) -> Result[None, StoreError]:
        """Extend a session by its time to live."""

    async def close_session(
        self, session: SessionId
    ) -> Result[None, StoreError]:
        """End a session, which removes its keys."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Response of a target to a grant or release."""

    reply: Reply
    handover: str = ''
    detail: str = ''


class TargetOrders(Protocol):
    """Sends grants and releases of keys to targets."""

    async def send(
        self,
        order: TargetOrder,
        address: str,
        timeout_s: Seconds,
        *,
        may_reconnect: bool,
    ) -> OrderReply:
        """Send an order and return the reply.

        Without ``may_reconnect`` nothing is sent to a target that may have been
        restarted since its last reply.
        """


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Fields that the gateway reads from request headers.

    Parameters
    ----------
    attempt_id
        Request identifier given by the caller; empty without one.
    deadline_s
        Time the caller waits, in seconds; None if not given.
    key
        Shard key; None if not given.
    """

    attempt_id: AttemptId
    deadline_s: Seconds | None
    key: ShardKey | None


Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class SendContext:
    """Fields that the gateway adds to a request for a target.

    Parameters
    ----------
    target
        The only target that may run the request.
    time_left_s
        Time left until the deadline, in seconds.
    """

    target: TargetId
    time_left_s: Seconds


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Fields that the gateway reads from response headers.

    Parameters
    ----------
    attempt_id
        Identifier of the answered request; empty if not given.
    is_not_run
        Whether the target states that it did not start the request.
    is_signed
        Whether the response has the signature of a target.
    responder
        Target that sent the response, None if not given.
    idle_limit_s
        Time the target keeps an idle connection, None if not given.
    rate_limit
        What the target says about its rate limit.
    load_report
        What it says about its load; None if absent or malformed.
    """

    attempt_id: AttemptId
    is_not_run: bool
    is_signed: bool
    responder: TargetId | None = None
    idle_limit_s: Seconds | None = None
    rate_limit: LimitStatement = NO_LIMIT
    load_report: LoadReport | None = None


class WireFormat(Protocol):
    """Names and formats of headers and store entries."""

    operator_prefix: str
    config_key: str
    evacuation_prefix: str
    target_prefix: str
    health_path: str

    def read_request_head(self, headers: Headers) -> RequestHead:
        """Parse the headers of a request."""

    def write_send_headers(
        self, headers: Headers, send_context: SendContext
    ) -> Headers:
        """Return the headers of a request to a target."""

    def read_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the status and headers of a response."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, str]:
        """Decode the route table of the configuration document."""

    def decode_target(
        self, key: str, content: bytes
    ) -> Result[TargetRecord, str]:
        """Decode the store entry of a target."""


@dataclass(frozen=True, slots=True)
class Platform:
    """Store, order transport and wire format of one platform."""

    store: MetadataStore
    orders: TargetOrders
    wire_format: WireFormat = field()
