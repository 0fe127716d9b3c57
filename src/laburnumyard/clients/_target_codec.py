"""Encodes requests to targets and decodes their untrusted responses."""

import json
import re
from dataclasses import asdict, astuple
from functools import partial
from http import HTTPStatus
from typing import Any

from expression import Result

from laburnumyard.clients import _target_messages as messages
from laburnumyard.clients._target_decoding import decode, read_leaving
from laburnumyard.core.ids import Sequence, Term
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.transport._json_fields import (
    Fields,
    read_boolean,
    read_count,
    read_list,
    shorten,
)
from laburnumyard.transport._target_exchange import TargetResponse

COMPACT_SEPARATORS = (',', ':')
HASH_PATTERN = re.compile('[0-9]{1,20}')


def encode_order(order: messages.SealOrder | messages.GrantOrder) -> bytes:
    """Return the JSON body of a seal or grant request."""
    fields = asdict(order)
    if isinstance(order, messages.GrantOrder):
        fields['ranges'] = [
            [str(owned.start), str(owned.stop - 1)] for owned in order.ranges
        ]
    return _encode_compact(fields)


def encode_renewal(order: messages.RenewOrder) -> bytes:
    """Return the JSON body of a renewal: a list, as renewals are frequent."""
    return _encode_compact(astuple(order))


def decode_answer(
    response: TargetResponse,
) -> Result[messages.TargetAnswer, messages.TargetError]:
    """Return the response to a seal or grant request."""
    return decode(response, _read_answer)


def decode_renewal(
    response: TargetResponse,
    order: messages.RenewOrder,
) -> Result[messages.TargetAnswer, messages.TargetError]:
    """Return the response to a renewal.

    Parameters
    ----------
    response
        The response; if accepted, it omits the fields of the request.
    order
        The renewal request, which supplies the omitted fields.
    """
    if response.status == HTTPStatus.OK:
        return decode(response, partial(_read_accepted, order))
    return decode(response, _read_answer)


def _encode_compact(content: Any) -> bytes:
    return json.dumps(content, separators=COMPACT_SEPARATORS).encode()


def _read_answer(fields: Fields) -> messages.TargetAnswer:
    return messages.TargetAnswer(
        read_boolean(fields, 'accepted'),
        Term(read_count(fields, 'term')),
        Sequence(read_count(fields, 'sequence')),
        read_count(fields, 'clock_ms'),
        _read_ranges(fields),
        read_count(fields, 'busy'),
        read_leaving(fields),
    )


def _read_accepted(
    order: messages.RenewOrder,
    fields: Fields,
) -> messages.TargetAnswer:
    return messages.TargetAnswer(
        accepted=True,
        term=order.term,
        sequence=order.sequence,
        clock_ms=read_count(fields, 'clock_ms'),
        ranges=None,
        busy=read_count(fields, 'busy') if 'busy' in fields else 0,
        leaving=read_leaving(fields),
    )


def _read_range(row: Any) -> HashRange:
    start, last = map(_read_hash, read_list(row))
    return HashRange(start, last + 1)


def _read_hash(text: Any) -> int:
    if HASH_PATTERN.fullmatch(text):
        return int(text)
    shown = shorten(text)
    raise ValueError(f'{shown} is not a hash; expected 1 to 20 decimal digits')


def _read_ranges(fields: Fields) -> tuple[HashRange, ...] | None:
    if 'ranges' not in fields:
        return None
    return tuple(map(_read_range, read_list(fields['ranges'])))
