"""Validated fields of the platform's JSON documents.

Each function raises ``TypeError`` or ``ValueError`` if a field is missing or
malformed.
"""

from laburnumyard.transport import Fields, read_text

MS_PER_SECOND = 1000
MAX_NAME_LENGTH = 1024
# Far above any amount in the platform's specification.
MAX_AMOUNT = 1e12


def read_name(fields: Fields, name: str) -> str:
    """Return a non-empty string."""
    text = read_text(fields, name, MAX_NAME_LENGTH)
    if not text:
        raise ValueError(f'{name} is empty; it must be a non-empty string')
    return text


def read_amount(fields: Fields, name: str) -> float:
    """Return a number from 0 to ``MAX_AMOUNT``."""
    amount = fields.get(name)
    if isinstance(amount, bool) or not isinstance(amount, int | float):
        raise TypeError(f'{name} must be a number')
    # NaN is in no range, and integers may be too large for a float.
    if not 0 <= amount <= MAX_AMOUNT:
        raise ValueError(f'{name} is {amount!r:.40}, expected 0 to 1e12')
    return float(amount)


def read_version(fields: Fields, name: str) -> int:
    """Return the number of a configuration version such as ``r12``."""
    text = read_name(fields, name)
    is_number = text[1:].isascii() and text[1:].isdecimal()
    if not text.startswith('r') or not is_number:
        raise ValueError(f'{name} is {text!r:.40}, expected r and digits')
    return int(text[1:])
