"""Routes a request: slot, target, retries and response."""

import math
from http import HTTPStatus
from itertools import count
from types import MappingProxyType

import anyio
from expression import Error, Ok, Result

from laburnumyard.clocks import boot_time
from laburnumyard.core.cost_classes import cost_class
from laburnumyard.core.ids import (
    DataCentre,
    RouteName,
    Seconds,
)
from laburnumyard.core.quarantine import fingerprint_of
from laburnumyard.core.rate_limits import UNKNOWN_LIMIT
from laburnumyard.core.reachability import TargetReach
from laburnumyard.core.routes import Route, WeightedServiceChooser
from laburnumyard.core.scheduling import Outcome, Refusal, RunReport
from laburnumyard.gateway._attempt import MIN_RETRY_S, Attempt
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._http_messages import (
    CallerRequest,
    CallerResponse,
    RequestResult,
    refuse_request,
)
from laburnumyard.gateway._limit_monitor import LimitMonitor
from laburnumyard.gateway._platform_interface import (
    RequestHead,
    ResponseHead,
    SendContext,
    WireFormat,
)
from laburnumyard.gateway._relay_client import RelayClient
from laburnumyard.gateway._slot_acquisition import Slot, Slots
from laburnumyard.gateway._slot_check import SlotCheck
from laburnumyard.gateway._slot_dispatcher import SlotRefused, SlotRequest
from laburnumyard.gateway._target_connection_pool import TargetConnectionPool
from laburnumyard.telemetry import METRICS, Event, log_decision
from laburnumyard.transport import (
    FailureKind,
    TargetConnection,
    TargetFailure,
    TargetRequest,
    TargetResponse,
    remove_hop_by_hop_headers,
)

# Grace after the timeout for a request that a target is running; a response
# within it is worth more than a failure.
LATE_RESPONSE_GRACE_S = 0.1
# Used if the caller gives no deadline.
DEFAULT_DEADLINE_S = 2.0
# Deadlines of first tries vary by up to a fifth below the longest one. One
# below this fraction of it comes from a caller that has waited before.
RETURNED_DEADLINE_RATIO = 0.75
# Limits per request of growth and decay of a route's longest deadline, so that
# no single caller determines it.
DEADLINE_GROWTH = 1.1
DEADLINE_DECAY = 0.998
FIRST_SERVER_ERROR_STATUS = 500
STATUS_CLASS_SIZE = 100
# Delay before a caller may come back whose request found no descriptor: some
# of the requests in flight have ended by then.
DESCRIPTOR_RETRY_S = 0.5
# The same for a request that targets refused.
EXHAUSTED_RETRY_S = 0.1
# Outcomes after which the same target may be tried again.
MAY_TRY_AGAIN = frozenset((Outcome.NOT_OWNER, Outcome.LAPSED))
SUCCESS_CLASS = 2
# Outcomes of failures other than a connection that ends.
OUTCOMES_BY_FAILURE = MappingProxyType(
    {
        FailureKind.TOO_LARGE: Outcome.OVERSIZED,
        FailureKind.MALFORMED: Outcome.INVALID,
        FailureKind.INVALID_STATUS: Outcome.INVALID,
    }
)


class RequestRouter:
    """Sends requests of callers to targets.

    Parameters
    ----------
    wire_format
        Format of headers.
    view
        Current route table.
    slots
        Source of target slots.
    pool
        Connections to targets, kept alive.
    data_centre
        Data centre of this gateway.
    reach
        Whether this gateway reaches targets; updated with each send.

    Attributes
    ----------
    relay
        Serves requests through peers while no target is reached.
    ends_at
        When this process exits, in seconds; infinite unless it is leaving.
    slot_check
        The last check before a send.
    """

    def __init__(
        self,
        wire_format: WireFormat,
        view: ClusterView,
        slots: Slots,
        pool: TargetConnectionPool,
        data_centre: DataCentre,
        reach: TargetReach | None = None,
    ) -> None:
        """Create a router without requests."""
        self.reach = reach or TargetReach()
        self.relay: RelayClient | None = None
        self.ends_at = Seconds(math.inf)
        self.slot_check = SlotCheck(view)
        self.send_numbers = count()
        self.wire_format = wire_format
        self.view = view
        self.slots = slots
        self.pool = pool
        self.data_centre = data_centre
        self.limit_monitor = LimitMonitor(view)
        self.chooser = WeightedServiceChooser()
        self.longest_deadlines: dict[RouteName, Seconds] = {}

    async def serve(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""
        head = self.wire_format.read_request_head(request.headers)
        result = await self.process(request, head)
        METRICS.count(
            'requests_total',
            status=result.response.status,
            reason=result.reason,
        )
        log_decision(
            Event.ANSWERED,
            request=head.attempt_id or 'none',
            status=result.response.status,
            reason=result.reason,
            took_ms=round((boot_time() - request.arrived_at) * 1000),
            version=self.view.routes.version if self.view.routes else 0,
        )
        return result.response

    async def process(
        self,
        request: CallerRequest,
        head: RequestHead,
        *,
        may_relay: bool = True,
    ) -> RequestResult:
        """Route a request and return its result.

        Parameters
        ----------
        request, head
            The request and its parsed fields.
        may_relay
            Whether a peer may serve it; a peer's request goes no further.
        """
        table = self.view.routes
        if table is None:
            return refuse_request('no-configuration', MIN_RETRY_S)
        route = table.find(request.host, request.path)
        if route is None:
            log_decision(
                Event.REFUSED,
                request=head.attempt_id,
                status=HTTPStatus.NOT_FOUND.value,
                reason='no-route',
                host=request.host,
                path=request.path,
                version=table.version,
                routes=len(table.routes),
            )
            return RequestResult(
                CallerResponse(HTTPStatus.NOT_FOUND), 'no-route'
            )
        attempt = self.start_attempt(request, head, route)
        if attempt.expires_at + LATE_RESPONSE_GRACE_S > self.ends_at:
            # It might be cut off while a target runs it.
            return refuse_request('leaving', MIN_RETRY_S)
        attempt.may_relay = may_relay
        log_decision(
            Event.ROUTED,
            request=head.attempt_id,
            route=route.name,
            service=attempt.service,
            version=table.version,
            key=head.key,
            due_ms=round((attempt.due_at - boot_time()) * 1000),
            left_ms=round(attempt.time_left * 1000),
            returned=attempt.is_returned,
        )
        result = await self.run(attempt)
        took = boot_time() - request.arrived_at
        METRICS.observe(attempt.service, took)
        return result

    def start_attempt(
        self, request: CallerRequest, head: RequestHead, route: Route
    ) -> Attempt:
        """Return the initial state of a request."""
        deadline = head.deadline_s or DEFAULT_DEADLINE_S
        longest = self.longest_deadline(route, deadline)
        is_returned = deadline < RETURNED_DEADLINE_RATIO * longest
        # Objective and deadline both count from the caller's first try: the
        # difference to the longest deadline has already passed.
        passed = longest - deadline if is_returned else 0
        arrived = request.arrived_at
        service = self.chooser.choose(route)
        return Attempt(
            request,
            head,
            route,
            service,
            is_returned,
            Seconds(arrived + route.objective_s - passed),
            Seconds(arrived + min(deadline, route.timeout_s)),
            fingerprint_of(
                service, request.method, request.path, '', request.body
            ),
        )

    def longest_deadline(self, route: Route, deadline: Seconds) -> Seconds:
        """Update and return the longest recent deadline of a route.

        Parameters
        ----------
        route
            Matched route.
        deadline
            Deadline of the current request, in seconds.
        """
        known = self.longest_deadlines.get(route.name, deadline)
        grown = min(deadline, known * DEADLINE_GROWTH)
        longest = Seconds(max(known * DEADLINE_DECAY, grown))
        self.longest_deadlines[route.name] = longest
        return longest

    async def run(self, attempt: Attempt) -> RequestResult:
        """Try targets within the deadline and return the result."""
        result = RequestResult(
            CallerResponse(HTTPStatus.GATEWAY_TIMEOUT), 'timeout'
        )
        late = LATE_RESPONSE_GRACE_S
        with anyio.move_on_after(attempt.time_left + late) as scope:
            result = await self.try_targets(attempt)
        if not scope.cancelled_caught:
            return result
        if attempt.may_have_run or attempt.runs:
            return attempt.failure or result
        return refuse_request('timeout-in-queue', MIN_RETRY_S)

    async def try_targets(self, attempt: Attempt) -> RequestResult:
        """Try one target after another until there is a result."""
        while True:
            if self.must_relay(attempt):
                return await self.serve_by_peer(attempt)
            if self.pool.is_full:
                return self.exhausted_result(
                    attempt, 'descriptors', DESCRIPTOR_RETRY_S
                )
            slot = await self.slots.acquire(self.slot_request(attempt))
            if isinstance(slot, Slot):
                result = await self.send(attempt, slot)
            else:
                result = await self.handle_refusal(attempt, slot)
            if result is not None:
                return result
            if not attempt.may_retry():
                return self.exhausted_result(attempt)

    def must_relay(self, attempt: Attempt) -> bool:
        """Whether a peer has to serve a request."""
        is_run_once = attempt.may_have_run and not attempt.route.is_repeatable
        return self.reach.is_lost and attempt.may_relay and not is_run_once

    async def serve_by_peer(self, attempt: Attempt) -> RequestResult:
        """Return the result of a request that a peer serves."""
        if self.relay is None:
            return self.exhausted_result(attempt)
        may_have_run = attempt.may_have_run
        # If the deadline ends the wait, the peer may be running it.
        attempt.may_have_run = True
        result = await self.relay.serve(
            attempt.request,
            attempt.head,
            attempt.expires_at,
            is_repeatable=attempt.route.is_repeatable,
        )
        is_refused = result.response.status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_refused and may_have_run:
            # A refusal would promise that the request did not run.
            return self.exhausted_result(attempt)
        return result

    def slot_request(self, attempt: Attempt) -> SlotRequest:
        """Return the slot request for the next send."""
        now = boot_time()
        if attempt.waits_since is None:
            attempt.waits_since = now
        return SlotRequest(
            attempt.service,
            attempt.route.name,
            attempt.attempt_id,
            attempt.route.rank,
            attempt.head.key,
            self.data_centre,
            Seconds(max(0, attempt.due_at - now)),
            Seconds(max(0, attempt.expires_at - now)),
            attempt.is_returned,
            frozenset(attempt.tried),
            attempt.fingerprint,
            attempt.sends,
            cost_class=cost_class(
                attempt.request.method,
                attempt.request.path,
                len(attempt.request.body),
                attempt.head.key,
            ),
            waited_s=Seconds(now - attempt.waits_since),
        )

    async def send(self, attempt: Attempt, slot: Slot) -> RequestResult | None:
        """Send a request to the target of a slot; None means to retry."""
        outcome = Outcome.CANCELLED
        attempt.waits_since = None
        try:
            result, outcome = await self.exchange(attempt, slot)
        finally:
            self.finish_send(attempt, slot, outcome)
        if outcome not in MAY_TRY_AGAIN:
            attempt.tried.add(slot.life.target)
        return result

    def finish_send(
        self, attempt: Attempt, slot: Slot, outcome: Outcome
    ) -> None:
        """Release the slot of a send and log its outcome."""
        self.limit_monitor.record(slot.life, attempt.rate_limit)
        report = RunReport(
            outcome,
            attempt.payload_bytes,
            attempt.rate_limit,
            attempt.load_report,
        )
        self.slots.release(slot, report)
        METRICS.count(
            'sends_total', service=attempt.service, outcome=outcome.value
        )
        limit = self.limit_monitor.current(slot.life)
        if limit is not None:
            METRICS.count('limited_sends_total', target=slot.life.target)
        log_decision(
            Event.SENT,
            request=attempt.attempt_id,
            target=slot.life.target,
            outcome=outcome,
            runs=attempt.runs,
            limit='none' if limit is None else limit.per_second,
        )

    async def exchange(
        self, attempt: Attempt, slot: Slot
    ) -> tuple[RequestResult | None, Outcome]:
        """Send a request on a connection and classify the response."""
        attempt.rate_limit = UNKNOWN_LIMIT
        attempt.load_report = None
        opened = await self.open_connection(attempt, slot)
        if opened.is_error():
            return None, opened.error
        connection = opened.ok
        attempt.sent_to.add(slot.address)
        attempt.runs += 1
        attempt.sends += 1
        may_have_run = attempt.may_have_run
        attempt.may_have_run = True
        number = next(self.send_numbers)
        self.reach.note_sent(number, boot_time())
        try:
            send_result = await connection.send(
                self.encode(attempt, slot),
                max(0, attempt.time_left) + LATE_RESPONSE_GRACE_S,
            )
        finally:
            self.reach.note_ended(number)
        if send_result.is_error():
            attempt.may_have_run = may_have_run or send_result.error.has_left
            return self.record_failure(attempt, send_result.error)
        self.reach.note_response(boot_time())
        response = send_result.ok
        attempt.payload_bytes = len(attempt.request.body) + len(response.body)
        head = self.wire_format.read_response_head(
            response.status, response.headers
        )
        if _may_be_of_another(attempt, connection, head):
            # The connection may be out of step and cannot be trusted.
            connection.close()
            return self.record_lost_response(attempt, 'foreign-answer')
        self.pool.release(connection, head.idle_limit_s)
        if _is_own(attempt, response, head, slot):
            attempt.rate_limit = head.rate_limit
            attempt.load_report = head.load_report
        if head.is_not_run:
            attempt.may_have_run = may_have_run
            attempt.runs -= 1
            attempt.refusals += 1
            return None, _refusal(response.status, head, slot)
        return self.read_response(attempt, response, head)

    async def open_connection(
        self, attempt: Attempt, slot: Slot
    ) -> Result[TargetConnection, Outcome]:
        """Return a connection to the target of a slot, or why there is none."""
        if self.must_relay(attempt):
            return Error(Outcome.CANCELLED)
        await self.slot_check.wait_until_current()
        if self.pool.is_full:
            # Requests that were waiting for slots have taken the connections.
            return Error(Outcome.CANCELLED)
        acquired = await self.pool.acquire(
            slot.address,
            is_repeatable=attempt.route.is_repeatable,
            # A response to an earlier send of the request has its id too.
            allows_idle=slot.address not in attempt.sent_to,
        )
        if acquired.is_error():
            self.reach.note_failure(slot.address, boot_time())
            attempt.refusals += 1
            return Error(Outcome.UNREACHABLE)
        connection = acquired.ok
        if not connection.requests:
            self.reach.note_connected(boot_time())
        # The coordinator may have lost the store, this gateway may have been
        # paused, or the target has left while the connection was opened.
        outcome = self.slot_check.unsent_outcome(slot)
        if outcome is not None:
            connection.close()
            attempt.refusals += 1
            return Error(outcome)
        if attempt.time_left <= 0:
            # A busy gateway gets here late, and the caller has given up.
            self.pool.release(connection, None)
            return Error(Outcome.CANCELLED)
        return Ok(connection)

    def encode(self, attempt: Attempt, slot: Slot) -> TargetRequest:
        """Return the request as it is sent to the target."""
        request = attempt.request
        send_context = SendContext(slot.life.target, Seconds(attempt.time_left))
        return TargetRequest(
            request.method,
            request.path,
            self.wire_format.write_send_headers(
                remove_hop_by_hop_headers(request.headers), send_context
            ),
            request.body,
            request.host,
        )

    def read_response(
        self, attempt: Attempt, response: TargetResponse, head: ResponseHead
    ) -> tuple[RequestResult | None, Outcome]:
        """Return the result of a request that the target has run."""
        is_success = response.status // STATUS_CLASS_SIZE == SUCCESS_CLASS
        if is_success and not head.is_signed:
            return self.record_lost_response(attempt, 'unsigned-answer')
        result = RequestResult(
            CallerResponse(
                response.status,
                remove_hop_by_hop_headers(response.headers),
                response.body,
            ),
            'target',
        )
        if response.status < FIRST_SERVER_ERROR_STATUS:
            return result, Outcome.ANSWERED
        attempt.failure = result
        if attempt.route.is_repeatable and attempt.may_retry():
            return None, Outcome.FAILED
        return result, Outcome.FAILED

    def record_failure(
        self, attempt: Attempt, failure: TargetFailure
    ) -> tuple[RequestResult | None, Outcome]:
        """Record a send without a response."""
        if not failure.has_left:
            attempt.runs -= 1
            attempt.sends -= 1
            attempt.refusals += 1
            return None, Outcome.UNREACHABLE
        outcome = OUTCOMES_BY_FAILURE.get(failure.kind, Outcome.BROKE_OFF)
        if outcome is Outcome.INVALID:
            log_decision(
                Event.TARGET,
                request=attempt.attempt_id,
                state='invalid-response',
                fault=failure.kind,
                detail=failure.detail,
            )
        return self.record_lost_response(attempt, failure.kind.value, outcome)

    def record_lost_response(
        self,
        attempt: Attempt,
        reason: str,
        outcome: Outcome = Outcome.BROKE_OFF,
    ) -> tuple[RequestResult | None, Outcome]:
        """Record a lost response; only repeatable requests are retried."""
        attempt.failure = RequestResult(
            CallerResponse(HTTPStatus.BAD_GATEWAY), reason
        )
        if attempt.route.is_repeatable and attempt.may_retry():
            return None, outcome
        return attempt.failure, outcome

    async def handle_refusal(
        self, attempt: Attempt, refused: SlotRefused
    ) -> RequestResult | None:
        """Return the result of a request that got no slot.

        None means to retry, as the asked gateway has just stopped
        coordinating the service.
        """
        if refused.reason is Refusal.NOT_COORDINATOR:
            await anyio.sleep(MIN_RETRY_S)
            return None
        if attempt.failure is not None:
            return attempt.failure
        return refuse_request(refused.reason, refused.retry_after_s)

    def exhausted_result(
        self,
        attempt: Attempt,
        reason: str = 'targets-refused',
        longest_pause_s: float = EXHAUSTED_RETRY_S,
    ) -> RequestResult:
        """Return the result of a request that may not be sent again.

        Parameters
        ----------
        attempt
            State of the request.
        reason
            Why it is refused if it did not run.
        longest_pause_s
            Longest delay before the caller should retry, in seconds.
        """
        if attempt.failure is not None:
            return attempt.failure
        if attempt.may_have_run:
            return RequestResult(
                CallerResponse(HTTPStatus.BAD_GATEWAY), 'broke-off'
            )
        pause = max(MIN_RETRY_S, attempt.time_left / 3)
        return refuse_request(reason, min(longest_pause_s, pause))


def _refusal(status: int, head: ResponseHead, slot: Slot) -> Outcome:
    if status != HTTPStatus.MISDIRECTED_REQUEST:
        return Outcome.SHED
    is_other = head.responder not in {None, slot.life.target}
    return Outcome.MISDIRECTED if is_other else Outcome.NOT_OWNER


def _may_be_of_another(
    attempt: Attempt, connection: TargetConnection, head: ResponseHead
) -> bool:
    """Whether a response may belong to another request of the connection.

    A refusal without an id on a kept connection may be an earlier one that was
    repeated; it would promise that a running request does not run.
    """
    if head.attempt_id:
        return head.attempt_id != attempt.attempt_id
    return head.is_not_run and connection.requests > 1


def _is_own(
    attempt: Attempt, response: TargetResponse, head: ResponseHead, slot: Slot
) -> bool:
    """Whether a response tells about the target of a slot.

    Responses that may come from another target at the address, or from none,
    say nothing about its rate limit and load.
    """
    is_misdirected = response.status == HTTPStatus.MISDIRECTED_REQUEST
    is_of_target = head.responder == slot.life.target or (
        head.responder is None and not is_misdirected
    )
    return is_of_target and head.attempt_id == attempt.attempt_id
