"""Checked fields of the platform's JSON bodies.

Each function raises ``TypeError`` or ``ValueError`` where a field is missing
or of another form.
"""

import math

from laburnumyard.transport import Fields, read_text

MS_PER_SECOND = 1000
LONGEST_NAME = 1024
# No amount on the platform's pages comes near this.
LARGEST_AMOUNT = 1e12


def read_name(fields: Fields, name: str) -> str:
    """Return a text that is not empty."""
    text = read_text(fields, name, LONGEST_NAME)
    if not text:
        raise ValueError(f'{name} is empty')
    return text


def read_amount(fields: Fields, name: str) -> float:
    """Return a finite number from 0 up."""
    amount = fields.get(name)
    if isinstance(amount, bool) or not isinstance(amount, int | float):
        raise TypeError(f'{name} is no number')
    if not math.isfinite(amount) or not 0 <= amount <= LARGEST_AMOUNT:
        raise ValueError(f'{name} is {amount!r:.40}, out of bounds')
    return float(amount)


def read_version(fields: Fields, name: str) -> int:
    """Return the number of a configuration version such as ``r12``."""
    text = read_name(fields, name)
    if not text.startswith('r') or not text[1:].isdecimal():
        raise ValueError(f'{name} is {text!r:.40}, not r and a number')
    return int(text[1:])
