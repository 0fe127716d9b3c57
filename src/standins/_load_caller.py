"""One caller: draws requests, sends them and checks the answers."""

import time
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

import anyio

from standins._load_connection import (
    BrokenConnectionError,
    CallerConnection,
    Reply,
    connect,
)
from standins._load_order import Order, encode_request, is_own
from standins._load_report import ClassReport, LoadReport, Outcome
from standins._load_settings import CallerClass, LoadSettings

RECONNECT_PAUSE_S = 0.02
RESEND_PAUSE_S = 0.05


@dataclass(slots=True)
class Pace:
    """Hands out send times: a fixed rate, or at once for a closed loop."""

    caller_class: CallerClass
    start_s: float
    taken: int = 0

    def take(self) -> float | None:
        """Return when the next request is due, None when all are sent."""
        number = self.taken
        self.taken += 1
        count = self.caller_class.count
        if count and number >= count:
            return None
        now = time.monotonic()
        rate = self.caller_class.rate
        due = self.start_s + number / rate if rate else now
        is_over = due >= self.start_s + self.caller_class.duration_s
        return None if is_over else due


@dataclass(slots=True)
class Caller:
    """A connection's loop of requests.

    Parameters
    ----------
    settings, caller_class
        What to send.
    number
        The place of the caller among all; it picks the address.
    pace
        Shared by the callers of a class.
    report
        Where outcomes go.
    """

    settings: LoadSettings
    caller_class: CallerClass
    number: int
    pace: Pace
    report: LoadReport
    random: Random = field(init=False)
    connection: CallerConnection | None = None
    attempts: int = 0
    orders: int = 0

    def __post_init__(self) -> None:
        """Give each caller its own draws."""
        seed = self.settings.seed
        name = self.caller_class.name
        number = self.number
        self.random = Random(f'{seed}/{name}/{number}')

    @property
    def counts(self) -> ClassReport:
        """The report of the caller's class."""
        return self.report.classes[self.caller_class.name]

    async def run(self) -> None:
        """Send until the pace says stop."""
        try:
            await self._send_all()
        finally:
            if self.connection is not None:
                self.connection.close()

    async def _send_all(self) -> None:
        due = self.pace.take()
        while due is not None:
            await anyio.sleep(max(0, due - time.monotonic()))
            await self._order(due)
            due = self.pace.take()

    async def _order(self, due: float) -> None:
        self.orders += 1
        name = self.caller_class.name
        echo = f'{name}-{self.number}-{self.orders}'
        order = Order(echo, self._draw_key(), due)
        self.counts.sent += 1
        ticket = ''
        reply = await self._send(order, ticket)
        if reply and reply.status == HTTPStatus.PRECONDITION_REQUIRED:
            ticket = reply.header('laburnumyard-ticket')
            reply = await self._send_ticket(order, ticket)
        self._note(order, ticket, reply)

    async def _send_ticket(self, order: Order, ticket: str) -> Reply | None:
        reply = await self._send(order, ticket)
        for _ in range(self.caller_class.resends):
            if reply and reply.status != HTTPStatus.TOO_EARLY:
                break
            await anyio.sleep(RESEND_PAUSE_S)
            reply = await self._send(order, ticket)
        return reply

    async def _send(self, order: Order, ticket: str) -> Reply | None:
        request = encode_request(self.caller_class, order, ticket)
        try:
            with anyio.fail_after(self.settings.timeout_s):
                connection = await self._connected()
                return await connection.exchange(request)
        except BrokenConnectionError:
            self.counts.broken += 1
            await anyio.sleep(RECONNECT_PAUSE_S)
        except TimeoutError:
            self.counts.timeouts += 1
        self._disconnect()
        return None

    async def _connected(self) -> CallerConnection:
        if self.connection is None or not self.connection.is_open:
            addresses = self.settings.addresses
            place = (self.number + self.attempts) % len(addresses)
            self.attempts += 1
            self.connection = await connect(addresses[place])
        return self.connection

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _draw_key(self) -> str:
        number = 0
        if self.random.random() >= self.caller_class.hot_share:
            number = self.random.randrange(self.caller_class.keys)
        prefix = self.caller_class.key_prefix
        return f'{prefix}{number}'

    def _note(self, order: Order, ticket: str, reply: Reply | None) -> None:
        now = time.monotonic()
        counts = self.counts
        seen = reply or Reply()
        ran = seen.header('laburnumyard-ran')
        error = seen.header('laburnumyard-error')
        counts.statuses[seen.status] += 1
        if ran:
            counts.ran[ran] += 1
        if error:
            counts.errors[error] += 1
        if seen.status == HTTPStatus.OK:
            self._check_whole(order, seen, now)
        if self.settings.keep_outcomes:
            self.report.outcomes.append(
                Outcome(
                    self.caller_class.name,
                    order.echo,
                    order.key,
                    ticket,
                    seen.status,
                    ran,
                    error,
                    order.due_s,
                    now,
                ),
            )

    def _check_whole(self, order: Order, reply: Reply, now: float) -> None:
        body = reply.body
        is_whole = len(body) >= self.caller_class.size
        if is_whole and is_own(order, body):
            self.counts.whole += 1
            self.counts.latencies_s.append(now - order.due_s)
        else:
            self.counts.foreign += 1
