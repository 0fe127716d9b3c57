"""Sends jobs to one target over pooled connections."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count
from types import MappingProxyType

from expression import Error, Ok, Result

from laburnumyard.clients import (
    FailureKind,
    TargetConnection,
    TargetFailure,
    TargetRequest,
    TargetResponse,
    remove_hop_by_hop_headers,
)
from laburnumyard.clocks import MILLISECONDS_PER_SECOND, boot_time
from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.fast_results import ok
from laburnumyard.core.ids import Seconds
from laburnumyard.daemon._crash_detection import TargetCrashMonitor
from laburnumyard.daemon._guards import TargetGuard
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job
from laburnumyard.schema._generated.objects import Target

Outcome = Result[Response, Failure]
CONNECT_TIMEOUT_S = 0.25
# Interval at which all idle connections are checked for expiry.
SWEEP_INTERVAL_S = 0.1
# Headers of a target's response that the daemon replaces by its own.
DAEMON_HEADERS = frozenset(('server', 'date'))
DAEMON_HEADER_PREFIX = 'laburnumyard-'
# Error kinds of a failure after part of the request may have been sent.
_SENT_FAILURES = MappingProxyType(
    {
        FailureKind.TIMEOUT: ErrorKind.DEADLINE_AFTER_START,
        FailureKind.BROKE_OFF: ErrorKind.TARGET_BROKE_OFF,
        FailureKind.MALFORMED: ErrorKind.TARGET_BROKE_OFF,
        FailureKind.TOO_LARGE: ErrorKind.TARGET_BROKE_OFF,
    }
)


@dataclass(slots=True)
class _PooledConnection:
    """An open connection and its state in the reuse policy."""

    connection: TargetConnection
    policy_state: requests.Connection


@dataclass(slots=True)
class TargetClock:
    """The latest reading of a target's clock.

    Parameters
    ----------
    clock_ms
        The reading, in milliseconds.
    received
        When the reading arrived here, on the boot-time clock.
    """

    clock_ms: int
    received: Seconds

    def expiry_ms(self, deadline: Seconds) -> int:
        """Return a deadline by the target's clock, early by the transfer."""
        left = (deadline - self.received) * MILLISECONDS_PER_SECOND
        return int(self.clock_ms + left)


class TargetConnectionPool:
    """Pool of connections to one target.

    Parameters
    ----------
    target
        The target and its address.
    body_bytes
        Limit on the body of a response.
    guard
        Checks the grants of a target without fencing.
    crash_monitor
        Records the jobs that may crash the target.
    on_unreachable
        Called when new connections time out as well.
    """

    def __init__(
        self,
        target: Target,
        body_bytes: int,
        guard: TargetGuard,
        crash_monitor: TargetCrashMonitor,
        on_unreachable: Callable[[], None],
    ) -> None:
        """Initialise with no connection."""
        self.target = target
        self.body_bytes = body_bytes
        self.guard = guard
        self.crash_monitor = crash_monitor
        self.on_unreachable = on_unreachable
        self.policy = requests.ConnectionPolicy()
        self.idle: dict[requests.ConnectionId, _PooledConnection] = {}
        self.next_sweep = Seconds(0)
        self.numbers = count(1)
        self.clock: TargetClock | None = None

    async def run(self, job: Job) -> Outcome:
        """Send one job and return the target's complete response."""
        pooled = self._take_idle(job)
        if pooled is None:
            opened = await self._open(job)
            if opened.is_error():
                return Error(opened.error)
            pooled = opened.ok
        return await self._send(job, pooled)

    async def _send(self, job: Job, pooled: _PooledConnection) -> Outcome:
        sent = boot_time()
        # Checked last, so that a pause before it cannot use an expired grant.
        refusal = self._refusal(job, sent)
        if refusal is not None:
            self._return_idle(pooled)
            return Error(refusal)
        deadline = self.guard.cap_deadline(job.deadline, sent)
        request = self._request(job, deadline, sent)
        # Remains recorded after a cancellation: the target may still run it.
        noted = self.guard.record_sent(job.key_hash, deadline)
        try:
            answer = await pooled.connection.send(request, deadline - sent)
        except asyncio.CancelledError:
            self.crash_monitor.record_abandoned(job, pooled.policy_state.opened)
            # The queue also enforces the deadline and may cancel first.
            if boot_time() >= deadline:
                self._record_timeout(pooled, sent)
            raise
        if answer.is_ok():
            self.guard.record_ended(noted)
            return self._take_answer(pooled, answer.ok)
        if not answer.error.has_left:
            self.guard.record_ended(noted)
        return Error(self._take_failure(job, pooled, answer.error, sent))

    def close(self) -> None:
        """Close the idle connections."""
        for pooled in self.idle.values():
            pooled.connection.close()
        self.idle.clear()

    def _refusal(self, job: Job, now: Seconds) -> Failure | None:
        if now >= job.deadline:
            return Failure(ErrorKind.DEADLINE_BEFORE_START)
        if not self.guard.is_granted(job.key_hash):
            detail = f'no current grant of the key for {self.target.name}'
            return Failure(ErrorKind.NO_OWNER, detail)
        return None

    def _take_idle(self, job: Job) -> _PooledConnection | None:
        now = boot_time()
        choice = self._choose(job, now)
        for connection_id in choice.close:
            self.idle.pop(connection_id).connection.close()
        if choice.reuse is None:
            return None
        pooled = self.idle.pop(choice.reuse)
        if pooled.connection.is_reusable:
            return pooled
        pooled.connection.close()
        return None

    def _choose(self, job: Job, now: Seconds) -> requests.ConnectionChoice:
        """Check the most recently used connection, and periodically all."""
        if self.idle and now < self.next_sweep:
            latest = next(reversed(self.idle.values())).policy_state
            choice = self.policy.choose((latest,), job.repeatable, now)
            if choice.reuse is not None:
                return choice
        self.next_sweep = Seconds(now + SWEEP_INTERVAL_S)
        policy_states = [pooled.policy_state for pooled in self.idle.values()]
        return self.policy.choose(policy_states, job.repeatable, now)

    async def _open(self, job: Job) -> Result[_PooledConnection, Failure]:
        timeout = min(CONNECT_TIMEOUT_S, job.deadline - boot_time())
        if timeout <= 0:
            return Error(Failure(ErrorKind.DEADLINE_BEFORE_START))
        opened = await TargetConnection.open(
            self.target.address,
            self.body_bytes,
            timeout,
        )
        if opened.is_error():
            self.policy.on_connect_failure()
            if opened.error.kind is FailureKind.UNREACHABLE:
                self.crash_monitor.on_connection_refused()
            detail = opened.error.detail
            return Error(Failure(ErrorKind.TARGET_UNREACHABLE, detail))
        connection_id = requests.ConnectionId(next(self.numbers))
        now = boot_time()
        policy_state = requests.Connection(connection_id, now, now)
        return Ok(_PooledConnection(opened.ok, policy_state))

    def _request(
        self,
        job: Job,
        deadline: Seconds,
        now: Seconds,
    ) -> TargetRequest:
        left_ms = int((deadline - now) * MILLISECONDS_PER_SECOND)
        headers = [
            *job.headers,
            ('laburnumyard-request-id', job.request_id),
            ('laburnumyard-key', job.key),
            ('laburnumyard-key-hash', str(job.key_hash)),
            ('laburnumyard-deadline-ms', str(left_ms)),
        ]
        if self.clock is not None:
            expiry = str(self.clock.expiry_ms(deadline))
            headers.append(('laburnumyard-expires-ms', expiry))
        if job.ticket:
            headers.append(('laburnumyard-ticket', job.ticket))
        return TargetRequest(job.method, job.path, tuple(headers), job.body)

    def _take_answer(
        self, pooled: _PooledConnection, answer: TargetResponse
    ) -> Outcome:
        now = boot_time()
        is_reusable = pooled.connection.is_reusable
        if self.policy.on_answer(pooled.policy_state, is_reusable, now):
            self._return_idle(pooled)
        else:
            pooled.connection.close()
        if answer.clock_ms is not None:
            self.clock = TargetClock(answer.clock_ms, now)
        if answer.is_not_run:
            return Error(_not_run(answer))
        return ok(
            Response(answer.status, _forwarded_headers(answer), answer.body)
        )

    def _take_failure(
        self,
        job: Job,
        pooled: _PooledConnection,
        failure: TargetFailure,
        sent: Seconds,
    ) -> Failure:
        pooled.connection.close()
        if failure.kind is FailureKind.BAD_REQUEST:
            return Failure(ErrorKind.BAD_REQUEST, failure.detail)
        if not failure.has_left:
            return Failure(ErrorKind.TARGET_UNREACHABLE, failure.detail)
        if failure.kind is FailureKind.TIMEOUT:
            self.crash_monitor.record_abandoned(job, pooled.policy_state.opened)
            self._record_timeout(pooled, sent)
        if failure.kind is FailureKind.BROKE_OFF:
            self.crash_monitor.on_connection_broken(
                job, pooled.policy_state.opened
            )
        kind = _SENT_FAILURES.get(failure.kind, ErrorKind.TARGET_BROKE_OFF)
        return Failure(kind, failure.detail)

    def _record_timeout(self, pooled: _PooledConnection, sent: Seconds) -> None:
        self.policy.on_timeout(pooled.policy_state, sent)
        if self.policy.reachability is requests.Reachability.UNREACHABLE:
            self.on_unreachable()

    def _return_idle(self, pooled: _PooledConnection) -> None:
        self.idle[pooled.policy_state.connection_id] = pooled


def _forwarded_headers(answer: TargetResponse) -> tuple[tuple[str, str], ...]:
    """Return the headers of a target's response for the caller."""
    dropped = DAEMON_HEADERS
    connection = answer.header('connection').lower()
    if connection:
        dropped |= set(connection.replace(' ', '').split(','))
    return tuple(
        pair
        for pair in remove_hop_by_hop_headers(answer.headers)
        if pair[0] not in dropped
        and not pair[0].startswith(DAEMON_HEADER_PREFIX)
    )


def _not_run(answer: TargetResponse) -> Failure:
    is_misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    kind = ErrorKind.NOT_OWNER if is_misdirected else ErrorKind.TARGET_SHED
    return Failure(kind, f'the target refused with status {answer.status}')
