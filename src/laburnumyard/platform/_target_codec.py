"""Encodes orders to targets and decodes their untrusted answers."""

import json
import re
from collections.abc import Callable
from dataclasses import asdict
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, TypeVar

from expression import Error, Ok, Result

from laburnumyard.core.ids import Sequence, Term
from laburnumyard.core.keys import HashRange
from laburnumyard.platform import _target_messages as messages
from laburnumyard.platform._target_types import (
    FailureKind,
    TargetFailure,
    TargetResponse,
)
from laburnumyard.platform._untrusted import (
    Fields,
    parse_json,
    read_count,
    read_flag,
    read_list,
    read_object,
    shorten,
)

ANSWERED = frozenset((HTTPStatus.OK, HTTPStatus.CONFLICT))
HASH = re.compile('[0-9]{1,20}')

Read = TypeVar('Read')

FAILURE_KINDS = MappingProxyType(
    {
        FailureKind.UNREACHABLE: messages.TargetErrorKind.UNREACHABLE,
        FailureKind.TIMEOUT: messages.TargetErrorKind.TIMEOUT,
        FailureKind.BROKE_OFF: messages.TargetErrorKind.BROKE_OFF,
        FailureKind.NOT_REUSABLE: messages.TargetErrorKind.BROKE_OFF,
        FailureKind.MALFORMED: messages.TargetErrorKind.MALFORMED,
        FailureKind.TOO_LARGE: messages.TargetErrorKind.MALFORMED,
        FailureKind.BAD_REQUEST: messages.TargetErrorKind.MALFORMED,
    },
)


def explain_failure(failure: TargetFailure) -> messages.TargetError:
    """Return the control error of a failed request."""
    kind = FAILURE_KINDS[failure.kind]
    return messages.TargetError(kind, failure.has_left, failure.detail)


def encode_order(order: messages.SealOrder | messages.RenewOrder) -> bytes:
    """Return the JSON body of an order."""
    fields = asdict(order)
    if isinstance(order, messages.GrantOrder):
        fields['ranges'] = [
            [str(owned.start), str(owned.stop - 1)] for owned in order.ranges
        ]
    return json.dumps(fields).encode()


def decode_answer(
    response: TargetResponse,
) -> Result[messages.TargetAnswer, messages.TargetError]:
    """Return the answer to a seal, grant or renewal."""
    return _decode(response, _read_answer)


def decode_drain(
    response: TargetResponse,
) -> Result[messages.DrainAnswer, messages.TargetError]:
    """Return the answer to a drain."""
    return _decode(response, _read_drain)


def decode_health(
    response: TargetResponse,
) -> Result[messages.TargetHealth, messages.TargetError]:
    """Return a target's word on its health."""
    return _decode(response, _read_health)


def decode_load(
    response: TargetResponse,
) -> Result[messages.TargetLoad, messages.TargetError]:
    """Return a target's word on its load."""
    return _decode(response, _read_load)


def _decode(
    response: TargetResponse,
    read: Callable[[Fields], Read],
) -> Result[Read, messages.TargetError]:
    if response.status == HTTPStatus.NOT_FOUND:
        return _refuse(messages.TargetErrorKind.UNSUPPORTED, 'answered 404')
    if response.status not in ANSWERED:
        detail = f'answered {response.status}'
        return _refuse(messages.TargetErrorKind.MALFORMED, detail)
    try:
        return Ok(read(read_object(parse_json(response.body))))
    except (TypeError, ValueError) as fault:
        return _refuse(messages.TargetErrorKind.MALFORMED, str(fault))


def _refuse(
    kind: messages.TargetErrorKind, detail: str
) -> Result[Any, messages.TargetError]:
    return Error(messages.TargetError(kind, has_left=True, detail=detail))


def _read_answer(fields: Fields) -> messages.TargetAnswer:
    return messages.TargetAnswer(
        read_flag(fields, 'accepted'),
        Term(read_count(fields, 'term')),
        Sequence(read_count(fields, 'sequence')),
        read_count(fields, 'clock_ms'),
        _read_ranges(fields),
        read_count(fields, 'busy'),
        _read_leaving(fields),
    )


def _read_drain(fields: Fields) -> messages.DrainAnswer:
    busy = read_count(fields, 'busy')
    return messages.DrainAnswer(read_flag(fields, 'draining'), busy)


def _read_health(fields: Fields) -> messages.TargetHealth:
    healthy = read_flag(fields, 'healthy')
    return messages.TargetHealth(healthy, _read_leaving(fields))


def _read_leaving(fields: Fields) -> bool | None:
    # A target with a bad word of leaving must still be able to hold its keys.
    leaving = fields.get('leaving')
    return leaving if isinstance(leaving, bool) else None


def _read_load(fields: Fields) -> messages.TargetLoad:
    return messages.TargetLoad(
        read_count(fields, 'busy'), read_count(fields, 'slots')
    )


def _read_range(row: Any) -> HashRange:
    start, last = map(_read_hash, read_list(row))
    return HashRange(start, last + 1)


def _read_hash(text: Any) -> int:
    if HASH.fullmatch(text):
        return int(text)
    shown = shorten(text)
    raise ValueError(f'{shown} is no hash')


def _read_ranges(fields: Fields) -> tuple[HashRange, ...] | None:
    if 'ranges' not in fields:
        return None
    return tuple(map(_read_range, read_list(fields['ranges'])))
