"""Rate limits in messages between gateways."""

from collections.abc import Iterable, Iterator, Mapping

from laburnumyard.core.ids import Seconds, ServiceName, TargetId
from laburnumyard.core.rate_limits import (
    NO_LIMIT,
    UNKNOWN_LIMIT,
    LimitKind,
    LimitStatement,
    RateLimit,
)
from laburnumyard.core.target_directory import TargetLife
from laburnumyard.schema._generated import messages

MS_PER_SECOND = 1000
NO_LIMIT_TEXT = 'none'


def encode_statement(statement: LimitStatement) -> str:
    """Return a statement as text; empty if it says nothing."""
    if statement.kind is LimitKind.NONE:
        return NO_LIMIT_TEXT
    if statement.kind is LimitKind.STATED:
        return str(statement.per_second)
    return ''


def decode_statement(text: str) -> LimitStatement:
    """Return the statement of a text; unknown texts say nothing."""
    if text == NO_LIMIT_TEXT:
        return NO_LIMIT
    try:
        return LimitStatement(LimitKind.STATED, float(text))
    except ValueError:
        return UNKNOWN_LIMIT


def encode_limits(
    service: ServiceName,
    limits: Mapping[TargetLife, RateLimit],
    now: Seconds,
) -> messages.TargetLimits:
    """Return the known limits of a service's targets as a message."""
    rows = tuple(
        messages.TargetLimit(
            life.target,
            life.started_at_ms,
            str(limit.per_second),
            max(0, int((now - limit.stated_at) * MS_PER_SECOND)),
        )
        for life, limit in limits.items()
    )
    return messages.TargetLimits(service, rows)


def decode_limits(
    rows: Iterable[messages.TargetLimit], now: Seconds
) -> Iterator[tuple[TargetLife, RateLimit]]:
    """Yield the limits of a message."""
    for row in rows:
        statement = decode_statement(row.rate_limit)
        if statement.kind is LimitKind.STATED:
            stated_at = Seconds(now - row.age_ms / MS_PER_SECOND)
            life = TargetLife(TargetId(row.target), row.started_at_ms)
            yield life, RateLimit(statement.per_second, stated_at)
