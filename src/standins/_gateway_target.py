"""A target of gateways, in the format of the users' pages."""

import json
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus

import anyio

from standins._answers import Headers, answer
from standins._asgi import Call, DisconnectedError, Receive, Scope, Send

MS_PER_S = 1000
ATTEMPT_ID = b'laburnumyard-attempt-id'
EXPECTED = b'laburnumyard-expect-instance'
SHARD_KEY = b'laburnumyard-shard-key'
MAX_TAKEN = 20_000
COLD_FACTOR = 3
NOT_RUN = (b'laburnumyard-not-executed', b'1')
SIGNATURE = (b'laburnumyard-instance-signature', b'stand-in')


@dataclass(frozen=True, slots=True)
class Hold:
    """A range of keys that the target holds.

    Parameters
    ----------
    first, last
        The range, inclusive.
    token
        Its fencing token.
    until
        When it ends, in seconds.
    """

    first: int
    last: int
    token: int
    until: float

    def overlaps(self, other: 'Hold') -> bool:
        """Whether two ranges have a key in common."""
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class Taken:
    """A grant that gave a target keys.

    Parameters
    ----------
    at
        When it came, in seconds.
    target
        The target.
    hold
        What it gave.
    """

    at: float
    target: str
    hold: Hold


@dataclass(slots=True)
class GatewayTarget:
    """The ASGI application of one target.

    Parameters
    ----------
    name, service, data_centre
        Who it is, what it serves and where.
    is_keyed
        Whether it runs requests only for keys that it holds.
    work_s
        How long a request runs, in seconds.

    Attributes
    ----------
    rate_limit
        The limit that its responses state; empty for none.
    cold_until
        When it is warm, in seconds; until then requests run longer.
    arrivals
        When each request came, in seconds.
    began
        Identifiers of the requests that began to run.
    tokens
        Highest fencing token of each key range that was ever ordered.
    fenced
        Grants that were refused since a higher token was seen.
    taken
        Grants that were not renewals.
    """

    name: str
    service: str
    data_centre: str = 'lima-a'
    is_keyed: bool = False
    work_s: float = 0.03
    slots: int = 3
    address: str = ''
    born_ms: int = field(default_factory=lambda: int(time.time() * MS_PER_S))
    sequence: int = 0
    state: str = 'ready'
    cold_until: float = 0
    rate_limit: str = ''
    arrivals: list[float] = field(default_factory=list)
    began: set[str] = field(default_factory=set)
    holds: list[Hold] = field(default_factory=list)
    tokens: 'deque[Hold]' = field(default_factory=deque)
    fenced: int = 0
    taken: 'deque[Taken]' = field(
        default_factory=lambda: deque(maxlen=MAX_TAKEN)
    )

    def entry(self) -> bytes:
        """Return what it writes to the store."""
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': self.address,
            'zone': self.data_centre,
            'version': 'v1',
            'maxConcurrency': self.slots,
            'state': self.state,
            'warmupLeftMs': int(self.cold_s * MS_PER_S),
            'sequence': self.sequence,
            'born': self.born_ms,
        }
        return json.dumps(fields).encode()

    @property
    def cold_s(self) -> float:
        """How long it stays cold, in seconds."""
        return max(0, self.cold_until - time.monotonic())

    def held(self, now: float) -> list[Hold]:
        """Return the ranges that it holds now."""
        return [hold for hold in self.holds if now < hold.until]

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        call = Call(scope, receive, send)
        try:
            await self.route(call)
        except DisconnectedError:
            return

    async def route(self, call: Call) -> None:
        """Answer an order or a request."""
        expected = call.headers.get(EXPECTED, self.name.encode()).decode()
        if expected != self.name:
            await self.reply(call, HTTPStatus.MISDIRECTED_REQUEST)
            return
        match call.path:
            case '/-/grant':
                await self.grant(call)
            case '/-/release':
                await self.release(call)
            case _:
                await self.run(call)

    async def grant(self, call: Call) -> None:
        """Take a range of keys, unless a higher token was seen."""
        order = await call.read_json()
        now = time.monotonic()
        hold = Hold(
            order['from'],
            order['target'],
            order['fence'],
            now + order['holdMs'] / MS_PER_S,
        )
        is_fenced = any(
            seen.token > hold.token and seen.overlaps(hold)
            for seen in self.tokens
        )
        if is_fenced:
            self.fenced += 1
            await self.reply(call, HTTPStatus.CONFLICT)
            return
        is_renewal = any(
            held.token == hold.token
            and held.first <= hold.first
            and hold.last <= held.last
            for held in self.held(now)
        )
        if not is_renewal:
            self.taken.append(Taken(now, self.name, hold))
        self.drop(hold)
        self.holds.append(hold)
        self.tokens.append(hold)
        await self.reply(call, HTTPStatus.OK)

    async def release(self, call: Call) -> None:
        """Let a range of keys go."""
        order = await call.read_json()
        hold = Hold(order['from'], order['target'], order['fence'], 0)
        self.drop(hold)
        self.tokens.append(hold)
        await self.reply(call, HTTPStatus.OK)

    def drop(self, dropped: Hold) -> None:
        """Stop holding a range; what lies beyond it is kept."""
        kept = []
        for hold in self.holds:
            if hold.overlaps(dropped):
                kept.extend(_remainder(hold, dropped))
            else:
                kept.append(hold)
        self.holds = kept

    async def run(self, call: Call) -> None:
        """Run a request."""
        await call.read_body()
        now = time.monotonic()
        key = int(call.headers.get(SHARD_KEY, b'0'))
        if self.is_keyed and not any(
            hold.first <= key <= hold.last for hold in self.held(now)
        ):
            await self.reply(call, HTTPStatus.MISDIRECTED_REQUEST, [NOT_RUN])
            return
        self.arrivals.append(now)
        self.began.add(call.headers.get(ATTEMPT_ID, b'').decode())
        factor = COLD_FACTOR if self.cold_s else 1
        await anyio.sleep(self.work_s * factor)
        await self.reply(call, HTTPStatus.OK, [SIGNATURE])

    async def reply(
        self, call: Call, status: int, headers: Headers | None = None
    ) -> None:
        """Send an answer with the headers that all answers have."""
        common = [
            (ATTEMPT_ID, call.headers.get(ATTEMPT_ID, b'')),
            (b'laburnumyard-instance-id', self.name.encode()),
        ]
        if self.rate_limit:
            common.append((b'server-limit', self.rate_limit.encode()))
        await answer(
            call, status, self.content(call), [*common, *(headers or ())]
        )

    def content(self, call: Call) -> bytes:
        """Return the body of an answer."""
        return self.name.encode()


def _remainder(hold: Hold, dropped: Hold) -> Iterator[Hold]:
    """Yield the parts of a range that lie outside another."""
    if hold.first < dropped.first:
        yield replace(hold, last=dropped.first - 1)
    if hold.last > dropped.last:
        yield replace(hold, first=dropped.last + 1)
