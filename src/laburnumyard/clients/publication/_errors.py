"""Errors of publishing and reading configurations."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from laburnumyard.clients.publication._store import StoreError, StoreErrorKind
from laburnumyard.core.configuration import (
    Change,
    ConfigurationHead,
    Problem,
)


class PublishErrorKind(Enum):
    """Reasons why publishing or reading fails."""

    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two concurrent changes of one configuration.

    Parameters
    ----------
    current
        The current head, published by the other operator.
    ours
        Changes of the rejected proposal against its base; without a base,
        against the current configuration.
    theirs
        Changes made since the base version of the proposal.
    """

    current: ConfigurationHead
    ours: tuple[Change, ...]
    theirs: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class PublishError:
    """A failure of publishing or reading.

    Parameters
    ----------
    kind
        The kind of the failure.
    detail
        The cause and the remedy, in one sentence.
    conflict
        Both changes, if another operator published first.
    """

    kind: PublishErrorKind
    detail: str
    conflict: Conflict | None = None


def map_store_error(fault: StoreError) -> PublishError:
    """Return the publish error for a failed call that published nothing.

    Parameters
    ----------
    fault
        The error that the store client returned.

    Returns
    -------
    PublishError
        Of kind ``REFUSED`` if a retry cannot succeed.
    """
    if fault.kind is StoreErrorKind.TOO_LARGE:
        detail = 'a value is too large for the store; split the files'
        return PublishError(PublishErrorKind.REFUSED, detail)
    reason = fault.detail or fault.kind.value
    detail = f'the store did not respond ({reason}); try again'
    return PublishError(PublishErrorKind.UNREACHABLE, detail)


def malformed(problems: Iterable[Problem]) -> PublishError:
    """Return the error for invalid content read from the store."""
    detail = '; '.join(map(str, problems))
    return PublishError(PublishErrorKind.MALFORMED, detail)
