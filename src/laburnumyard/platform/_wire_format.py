"""HTTP headers of the platform, and its documents in the store."""

import re
from types import MappingProxyType

from expression import Error, Ok, Result

from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import (
    NO_LIMIT,
    LimitKind,
    LimitStatement,
)
from laburnumyard.core.routes import RouteTable
from laburnumyard.core.shards import MAX_SHARD_KEY
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
from laburnumyard.gateway._platform_interface import (
    Headers,
    RequestHead,
    ResponseHead,
    SendContext,
)
from laburnumyard.platform._document_fields import (
    MS_PER_SECOND,
    read_amount,
    read_name,
)
from laburnumyard.platform._route_decoding import read_routes
from laburnumyard.telemetry import METRICS
from laburnumyard.transport import (
    parse_json,
    parse_target_address,
    read_count,
    read_object,
)

ATTEMPT_ID_HEADER = 'laburnumyard-attempt-id'
DEADLINE_MS_HEADER = 'laburnumyard-deadline-ms'
SHARD_KEY_HEADER = 'laburnumyard-shard-key'
EXPECT_INSTANCE_HEADER = 'laburnumyard-expect-instance'
INSTANCE_ID_HEADER = 'laburnumyard-instance-id'
SIGNATURE_HEADER = 'laburnumyard-instance-signature'
NOT_EXECUTED_HEADER = 'laburnumyard-not-executed'
# Requests per second that the target takes from all gateways together.
RATE_LIMIT_HEADER = 'server-limit'
# Load of the target: running, waiting, slots, and how long work takes in per
# cent of the usual time, which may be missing.
LOAD_HEADER = 'laburnumyard-instance-load'
LOAD_REPORT = re.compile(
    r'(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?', re.ASCII
)
PERCENT = 100
KEEP_ALIVE_HEADER = 'keep-alive'
KEEP_ALIVE_TIMEOUT = re.compile(r'(?:^|[,;\s])timeout=(\d{1,6})', re.IGNORECASE)
# Longer numbers exceed any plausible deadline.
MAX_DIGITS = 9
WHOLE_NUMBER = re.compile(f'[0-9]{{1,{MAX_DIGITS}}}')
DECIMAL_NUMBER = re.compile(r'[0-9]{1,15}(?:\.[0-9]{1,15})?')
# Malformed values are logged up to this length.
MAX_LOGGED_CHARS = 60
TARGET_STATES = MappingProxyType(
    {state.value: state for state in (TargetState.READY, TargetState.DRAINING)}
)
MISDIRECTED_STATUS = 421


class PlatformWireFormat:
    """Header names and entry formats of the users' platform."""

    operator_prefix = 'op/'
    config_key = 'op/config'
    evacuation_prefix = 'op/evacuate/'
    target_prefix = 'servers/'
    health_path = '/healthz'

    def read_request_head(self, headers: Headers) -> RequestHead:
        """Parse the headers of a request."""
        fields = dict(headers)
        deadline_ms = _parse_whole_number(fields.get(DEADLINE_MS_HEADER, ''))
        key = _parse_whole_number(fields.get(SHARD_KEY_HEADER, ''))
        if key is not None and key > MAX_SHARD_KEY:
            key = None
        return RequestHead(
            AttemptId(fields.get(ATTEMPT_ID_HEADER, '')),
            _seconds(deadline_ms),
            None if key is None else ShardKey(key),
        )

    def write_send_headers(
        self, headers: Headers, send_context: SendContext
    ) -> Headers:
        """Return the headers of a request to a target."""
        kept = tuple(
            header
            for header in headers
            if header[0] not in {DEADLINE_MS_HEADER, EXPECT_INSTANCE_HEADER}
        )
        left_ms = max(1, int(send_context.time_left_s * MS_PER_SECOND))
        return (
            *kept,
            (DEADLINE_MS_HEADER, str(left_ms)),
            (EXPECT_INSTANCE_HEADER, send_context.target),
        )

    def read_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the status and headers of a response."""
        fields = dict(headers)
        limit = KEEP_ALIVE_TIMEOUT.search(fields.get(KEEP_ALIVE_HEADER, ''))
        return ResponseHead(
            AttemptId(fields.get(ATTEMPT_ID_HEADER, '')),
            NOT_EXECUTED_HEADER in fields or status == MISDIRECTED_STATUS,
            SIGNATURE_HEADER in fields,
            TargetId(fields[INSTANCE_ID_HEADER])
            if INSTANCE_ID_HEADER in fields
            else None,
            Seconds(float(limit.group(1))) if limit else None,
            _read_rate_limit(headers),
            _counted_load_report(headers),
        )

    def decode_routes(self, content: bytes) -> Result[RouteTable, str]:
        """Decode the route table of the configuration document."""
        try:
            return Ok(read_routes(read_object(parse_json(content))))
        except (TypeError, ValueError, KeyError) as fault:
            return Error(str(fault))

    def decode_target(
        self, key: str, content: bytes
    ) -> Result[TargetRecord, str]:
        """Decode the store entry of a target."""
        try:
            return Ok(
                _read_target(key.removeprefix(self.target_prefix), content)
            )
        except (TypeError, ValueError, KeyError) as fault:
            return Error(str(fault))


def _read_target(target: str, content: bytes) -> TargetRecord:
    fields = read_object(parse_json(content))
    address = parse_target_address(read_name(fields, 'address'))
    state = read_name(fields, 'state')
    if state not in TARGET_STATES:
        raise ValueError(f'state is {state!r:.60}, expected ready or draining')
    slots = read_count(fields, 'maxConcurrency')
    if not slots:
        raise ValueError('maxConcurrency is 0; it must be at least 1')
    # The software version of the target. An entry without it is not the
    # target's own.
    read_name(fields, 'version')
    warm_up_ms = read_amount(fields, 'warmupLeftMs')
    return TargetRecord(
        TargetLife(TargetId(target), read_count(fields, 'born')),
        ServiceName(read_name(fields, 'service')),
        address,
        DataCentre(read_name(fields, 'zone')),
        slots,
        TARGET_STATES[state],
        Seconds(warm_up_ms / MS_PER_SECOND),
        read_count(fields, 'sequence'),
    )


def _read_rate_limit(headers: Headers) -> LimitStatement:
    values = [text for name, text in headers if name == RATE_LIMIT_HEADER]
    if not values:
        return NO_LIMIT
    if len(values) > 1 or not DECIMAL_NUMBER.fullmatch(values[0]):
        text = ', '.join(values)[:MAX_LOGGED_CHARS]
        return LimitStatement(LimitKind.MALFORMED, text=text)
    return LimitStatement(LimitKind.STATED, float(values[0]))


def _counted_load_report(headers: Headers) -> LoadReport | None:
    report = _read_load_report(headers)
    if report is None and any(name == LOAD_HEADER for name, _ in headers):
        METRICS.count('load_reports_total', state='malformed')
    return report


def _read_load_report(headers: Headers) -> LoadReport | None:
    values = [text for name, text in headers if name == LOAD_HEADER]
    if len(values) != 1:
        return None
    figures = LOAD_REPORT.fullmatch(values[0])
    if figures is None:
        return None
    running, waiting, slots = map(int, figures.group(1, 2, 3))
    slowdown = figures.group(4)
    # No target has 0 slots, or does work in no time.
    if not slots or (slowdown and not int(slowdown)):
        return None
    return LoadReport(
        running, waiting, slots, int(slowdown) / PERCENT if slowdown else None
    )


def _parse_whole_number(text: str) -> int | None:
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None


def _seconds(milliseconds: int | None) -> Seconds | None:
    if milliseconds is None:
        return None
    return Seconds(milliseconds / MS_PER_SECOND)
