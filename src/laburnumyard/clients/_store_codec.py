"""Decodes and validates untrusted responses of the store."""

import re
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from expression import Error, Ok, Result

from laburnumyard.clients._store_errors import malformed, status_error
from laburnumyard.clients._store_types import (
    KeyRevision,
    StoredValue,
    StoreError,
    StoreErrorKind,
)
from laburnumyard.transport._endpoint import HttpResponse
from laburnumyard.transport._json_fields import (
    MAX_COUNT,
    parse_json,
    read_count,
    read_list,
    read_object,
    read_text,
    shorten,
)

REVISION_PATTERN = re.compile('[1-9][0-9]{0,18}')
MAX_KEY_LENGTH = 1024


def decode_revision(answer: HttpResponse) -> Result[int, StoreError]:
    """Return the revision in the ``etag`` header of a response."""
    etag = answer.headers.get('etag', '').strip('"')
    if REVISION_PATTERN.fullmatch(etag) and int(etag) <= MAX_COUNT:
        return Ok(int(etag))
    shown = shorten(etag)
    return Error(
        malformed(
            f'etag {shown} is not a revision; expected a positive integer'
        )
    )


def decode_written(answer: HttpResponse) -> Result[int, StoreError]:
    """Return the revision of a write; ``OUTCOME_UNKNOWN`` without one."""
    return decode_revision(answer).map_error(
        lambda error: replace(error, kind=StoreErrorKind.OUTCOME_UNKNOWN),
    )


def decode_watched(
    key: str,
    after: int,
    answer: HttpResponse,
) -> Result[StoredValue | None, StoreError]:
    """Return the value from a watch; None if it timed out."""
    if answer.status == HTTPStatus.NO_CONTENT:
        return Ok(None)
    if answer.status != HTTPStatus.OK:
        return Error(status_error(answer))
    return decode_stored(key, answer).bind(
        lambda stored: _check_newer(stored, after),
    )


def _check_newer(
    stored: StoredValue | None,
    after: int,
) -> Result[StoredValue | None, StoreError]:
    if stored is None or stored.revision > after:
        return Ok(stored)
    detail = (
        f'watch returned revision {stored.revision}, expected above {after}'
    )
    return Error(malformed(detail))


def decode_stored(
    key: str,
    answer: HttpResponse,
) -> Result[StoredValue | None, StoreError]:
    """Return the value from a read; None if the key is absent."""
    if answer.status == HTTPStatus.NOT_FOUND:
        return Ok(None)
    if answer.status != HTTPStatus.OK:
        return Error(status_error(answer))
    return decode_revision(answer).map(
        lambda revision: StoredValue(key, answer.body, revision),
    )


def decode_json(answer: HttpResponse) -> Result[Any, StoreError]:
    """Return the decoded JSON body of a response."""
    if answer.status != HTTPStatus.OK:
        return Error(status_error(answer))
    try:
        return Ok(parse_json(answer.body))
    except ValueError as fault:
        return Error(malformed(str(fault)))


def decode_keys(
    answer: HttpResponse,
) -> Result[tuple[KeyRevision, ...], StoreError]:
    """Return the keys of a listing."""
    return decode_json(answer).bind(_read_keys)


def _read_keys(rows: Any) -> Result[tuple[KeyRevision, ...], StoreError]:
    try:
        return Ok(tuple(map(_read_key, read_list(rows))))
    except (TypeError, ValueError) as fault:
        return Error(malformed(f'the list of keys: {fault}'))


def _read_key(row: Any) -> KeyRevision:
    fields = read_object(row)
    key = read_text(fields, 'key', MAX_KEY_LENGTH)
    return KeyRevision(key, read_count(fields, 'revision'))
