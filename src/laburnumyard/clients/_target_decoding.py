"""Decodes untrusted responses of targets into typed results."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, TypeVar

from expression import Error, Ok, Result

from laburnumyard.clients import _target_messages as messages
from laburnumyard.transport._json_fields import Fields, parse_json, read_object
from laburnumyard.transport._target_exchange import (
    FailureKind,
    TargetFailure,
    TargetResponse,
)

DECODED_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.CONFLICT))

Read = TypeVar('Read')

FAILURE_KINDS = MappingProxyType(
    {
        FailureKind.UNREACHABLE: messages.TargetErrorKind.UNREACHABLE,
        FailureKind.TIMEOUT: messages.TargetErrorKind.TIMEOUT,
        FailureKind.BROKE_OFF: messages.TargetErrorKind.BROKE_OFF,
        FailureKind.NOT_REUSABLE: messages.TargetErrorKind.BROKE_OFF,
        FailureKind.MALFORMED: messages.TargetErrorKind.MALFORMED,
        FailureKind.INVALID_STATUS: messages.TargetErrorKind.MALFORMED,
        FailureKind.TOO_LARGE: messages.TargetErrorKind.MALFORMED,
        FailureKind.BAD_REQUEST: messages.TargetErrorKind.MALFORMED,
    },
)


def map_target_failure(failure: TargetFailure) -> messages.TargetError:
    """Return the control error of a failed request."""
    kind = FAILURE_KINDS[failure.kind]
    return messages.TargetError(kind, failure.has_left, failure.detail)


def decode(
    response: TargetResponse,
    read: Callable[[Fields], Read],
) -> Result[Read, messages.TargetError]:
    """Decode the JSON body of a response with a reader function.

    Parameters
    ----------
    response
        The response of the target.
    read
        Reads the decoded object; raises ``TypeError`` or ``ValueError`` if
        it is malformed.
    """
    if response.status == HTTPStatus.NOT_FOUND:
        return _refuse(messages.TargetErrorKind.UNSUPPORTED, 'answered 404')
    if response.status not in DECODED_STATUSES:
        detail = f'answered {response.status}'
        return _refuse(messages.TargetErrorKind.MALFORMED, detail)
    try:
        return Ok(read(read_object(parse_json(response.body))))
    except (TypeError, ValueError) as fault:
        return _refuse(messages.TargetErrorKind.MALFORMED, str(fault))


def read_leaving(fields: Fields) -> bool | None:
    """Return whether a target is leaving; None if the field is malformed."""
    # A malformed `leaving` field must not cost the target its key ranges.
    leaving = fields.get('leaving', False)
    return leaving if isinstance(leaving, bool) else None


def _refuse(
    kind: messages.TargetErrorKind, detail: str
) -> Result[Any, messages.TargetError]:
    return Error(messages.TargetError(kind, has_left=True, detail=detail))
