"""Stored values and errors of the store client."""

from dataclasses import dataclass
from enum import Enum


class StoreErrorKind(Enum):
    """Reasons why a call to the store fails."""

    UNAVAILABLE = 'unavailable'
    TIMEOUT = 'timeout'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too-large'
    OVER_BUDGET = 'over-budget'
    MALFORMED = 'malformed'
    OUTCOME_UNKNOWN = 'outcome-unknown'


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value in the store.

    Parameters
    ----------
    key
        The key of the value.
    content
        The value.
    revision
        The revision of the write that stored it; revisions increase across
        all keys of the store.
    """

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """A listed key and its revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call to the store.

    Parameters
    ----------
    kind
        Reason of the failure.
    detail
        Description of the failure.
    current
        With ``CONFLICT``, the current value of the key; None if it is absent
        or could not be read.
    """

    kind: StoreErrorKind
    detail: str = ''
    current: StoredValue | None = None
