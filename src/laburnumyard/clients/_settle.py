"""Whether a conditional write took effect, from what the key holds."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from laburnumyard.clients._store_types import (
    Stored,
    StoreError,
    StoreErrorKind,
)

SETTLED_BY_READING = frozenset(
    (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN),
)

Settled = Result[Stored, StoreError]


@dataclass(frozen=True, slots=True)
class Attempted:
    """A conditional write that was not answered with success.

    Parameters
    ----------
    key
        Its key.
    expected
        The revision that it was to replace, None for an absent key.
    doubt
        Whether it may have taken effect or still may.
    """

    key: str
    expected: int | None
    doubt: bool


def settle(
    attempted: Attempted,
    current: Stored | None,
    is_applied: Callable[[bytes], bool],
) -> Settled | None:
    """Decide from what the key holds now; None if the write may go again.

    Parameters
    ----------
    attempted
        The write.
    current
        What the key holds, None where it is absent.
    is_applied
        Tells whether a value has the change of the write in it.

    Returns
    -------
    Result of Stored or None
        The value with the change, or ``CONFLICT``. None where the key still
        has the expected revision: an equal write cannot apply twice then,
        because at most one of them finds that revision. An absent key has
        no revision, so a doubtful creation stays ``OUTCOME_UNKNOWN``.
    """
    if current is not None and is_applied(current.content):
        return Ok(current)
    revision = current.revision if current else None
    if revision != attempted.expected:
        detail = f'{attempted.key} is at {revision}'
        return Error(StoreError(StoreErrorKind.CONFLICT, detail, current))
    if attempted.expected is None and attempted.doubt:
        detail = f'{attempted.key} is absent; its creation may be on the way'
        return Error(StoreError(StoreErrorKind.OUTCOME_UNKNOWN, detail))
    return None


def mark_doubt(error: StoreError, doubt: bool) -> Settled:
    """Return an error, as ``OUTCOME_UNKNOWN`` where there is doubt."""
    if doubt:
        return Error(replace(error, kind=StoreErrorKind.OUTCOME_UNKNOWN))
    return Error(error)
