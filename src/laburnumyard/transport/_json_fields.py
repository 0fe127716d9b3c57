"""Validated access to fields of untrusted JSON.

Each function raises ``TypeError`` or ``ValueError`` if a field is missing or
malformed.
"""

import json
from collections.abc import Mapping
from typing import Any

# Counters and revisions are signed 64-bit integers.
MAX_COUNT = 9_223_372_036_854_775_807
# Characters of a bad value that an error message shows.
MAX_SHOWN_LENGTH = 40

Fields = Mapping[str, Any]


def shorten(text: str) -> str:
    """Return the start of a bad value, quoted for an error message."""
    return repr(text[:MAX_SHOWN_LENGTH])


def parse_json(raw: bytes) -> Any:
    """Return decoded JSON; excessive nesting raises ``ValueError``."""
    try:
        return json.loads(raw)
    except RecursionError as fault:
        raise ValueError('the JSON is nested too deeply') from fault


def read_object(raw: Any) -> Fields:
    """Return a JSON object."""
    if isinstance(raw, dict):
        return raw
    raise TypeError('expected a JSON object')


def read_list(raw: Any) -> list[Any]:
    """Return a JSON list."""
    if isinstance(raw, list):
        return raw
    raise TypeError('expected a JSON list')


def read_boolean(fields: Fields, name: str) -> bool:
    """Return a boolean."""
    flag = fields.get(name)
    if isinstance(flag, bool):
        return flag
    raise TypeError(f'{name} must be true or false')


def read_count(fields: Fields, name: str) -> int:
    """Return an integer from 0 to ``MAX_COUNT``."""
    count = fields.get(name)
    is_integer = isinstance(count, int) and not isinstance(count, bool)
    if is_integer and 0 <= count <= MAX_COUNT:
        return int(count)
    raise TypeError(f'{name} must be an integer from 0 to 2**63 - 1')


def read_text(fields: Fields, name: str, max_length: int) -> str:
    """Return a string of at most ``max_length`` characters.

    A lone surrogate, which no message can carry, raises ``ValueError``.
    """
    text = fields.get(name)
    if isinstance(text, str) and len(text) <= max_length:
        text.encode()
        return text
    raise TypeError(
        f'{name} must be a string of at most {max_length} characters'
    )
