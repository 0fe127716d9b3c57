"""Resolves the outcome of a conditional write from the key's value."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from laburnumyard.clients._store_types import (
    StoredValue,
    StoreError,
    StoreErrorKind,
)

RESOLVABLE_BY_READ = frozenset(
    (StoreErrorKind.CONFLICT, StoreErrorKind.OUTCOME_UNKNOWN),
)

WriteResult = Result[StoredValue, StoreError]


@dataclass(frozen=True, slots=True)
class UnconfirmedWrite:
    """A conditional write that was not acknowledged.

    Parameters
    ----------
    key
        The key that was written.
    expected
        The revision that the write required; None to create the key.
    may_be_applied
        Whether the write may have been applied or may still be.
    """

    key: str
    expected: int | None
    may_be_applied: bool


def resolve_write(
    unconfirmed: UnconfirmedWrite,
    current: StoredValue | None,
    is_applied: Callable[[bytes], bool],
) -> WriteResult | None:
    """Return the outcome of a write; None if it can safely be retried.

    Parameters
    ----------
    unconfirmed
        The unacknowledged write.
    current
        The current value of the key; None if the key is absent.
    is_applied
        Returns whether a value includes the change of the write.

    Returns
    -------
    Result of StoredValue or None
        The value that includes the change, or ``CONFLICT``. None if the key
        still has the expected revision: a retry is then safe, because at
        most one of the identical writes can match that revision. An absent
        key has no revision, so a creation that may have been applied stays
        ``OUTCOME_UNKNOWN``.
    """
    if current is not None and is_applied(current.content):
        return Ok(current)
    revision = current.revision if current else None
    if revision != unconfirmed.expected:
        detail = f'{unconfirmed.key} is at {revision}'
        return Error(StoreError(StoreErrorKind.CONFLICT, detail, current))
    if unconfirmed.expected is None and unconfirmed.may_be_applied:
        detail = f'{unconfirmed.key} is absent; its creation may be pending'
        return Error(StoreError(StoreErrorKind.OUTCOME_UNKNOWN, detail))
    return None


def mark_outcome_unknown(
    error: StoreError, may_be_applied: bool
) -> WriteResult:
    """Return the error, as ``OUTCOME_UNKNOWN`` if a write may have applied."""
    if may_be_applied:
        return Error(replace(error, kind=StoreErrorKind.OUTCOME_UNKNOWN))
    return Error(error)
