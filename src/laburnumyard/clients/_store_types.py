"""What the store holds, and how a call on it can fail."""

from dataclasses import dataclass
from enum import Enum


class StoreErrorKind(Enum):
    """Every way in which a call on the store can fail."""

    UNAVAILABLE = 'unavailable'
    TIMEOUT = 'timeout'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too-large'
    OVER_BUDGET = 'over-budget'
    MALFORMED = 'malformed'
    OUTCOME_UNKNOWN = 'outcome-unknown'


@dataclass(frozen=True, slots=True)
class Stored:
    """A value of the store.

    Parameters
    ----------
    key
        Its key.
    content
        The value.
    revision
        The revision of the write that stored it; revisions rise over the
        whole store.
    """

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """A key of a listing, and its revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call on the store.

    Parameters
    ----------
    kind
        Why it failed.
    detail
        What was met.
    current
        With ``CONFLICT``, what the key holds now; None where it is absent
        or could not be read.
    """

    kind: StoreErrorKind
    detail: str = ''
    current: Stored | None = None
