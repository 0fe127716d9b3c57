"""State of one request of a caller across its sends."""

from dataclasses import dataclass, field

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import AttemptId, Seconds, ServiceName, TargetId
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.quarantine import Fingerprint
from laburnumyard.core.rate_limits import UNKNOWN_LIMIT, LimitStatement
from laburnumyard.core.routes import Route
from laburnumyard.gateway._http_messages import CallerRequest, RequestResult
from laburnumyard.gateway._platform_interface import RequestHead

# Limit of sends that targets refuse; each costs a share of the retry budget.
MAX_REFUSED_SENDS = 4
# A retry is pointless with less time left.
MIN_RETRY_S = 0.03


@dataclass(slots=True)
class Attempt:
    """State of one request across its sends.

    Parameters
    ----------
    request
        Request of the caller.
    head
        Fields parsed from its headers.
    route, service
        Matched route and chosen service.
    is_returned
        Whether the caller retries after an earlier refusal.
    due_at, expires_at
        Times until which a response has full value, and any value.
    fingerprint
        Hash that is equal for requests with the same content.

    Attributes
    ----------
    tried
        Targets that are not to be tried again.
    sent_to
        Addresses to which it was sent, whatever came of it.
    waits_since
        When it first asked for a slot for its next send, in seconds; None
        before that.
    """

    request: CallerRequest
    head: RequestHead
    route: Route
    service: ServiceName
    is_returned: bool
    due_at: Seconds
    expires_at: Seconds
    fingerprint: Fingerprint
    tried: set[TargetId] = field(default_factory=set)
    sent_to: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    refusals: int = 0
    # Size of the request and the last response, 0 before that.
    payload_bytes: int = 0
    # What the target of the last send said about its rate limit.
    rate_limit: LimitStatement = UNKNOWN_LIMIT
    # The load that it reported, None without a report.
    load_report: LoadReport | None = None
    # Whether a send without a response may have run.
    may_have_run: bool = False
    failure: RequestResult | None = None
    waits_since: Seconds | None = None
    # Whether a peer may serve it; false for a request that a peer relayed.
    may_relay: bool = True

    @property
    def attempt_id(self) -> AttemptId:
        """Request identifier given by the caller."""
        return self.head.attempt_id

    @property
    def time_left(self) -> float:
        """Time until a response is useless, in seconds."""
        return self.expires_at - boot_time()

    def may_retry(self) -> bool:
        """Whether the request may be sent to another target."""
        if self.may_have_run and not self.route.is_repeatable:
            return False
        has_sends_left = self.runs < self.route.max_targets
        has_refusals_left = self.refusals < MAX_REFUSED_SENDS
        return (
            has_sends_left
            and has_refusals_left
            and self.time_left > MIN_RETRY_S
        )
