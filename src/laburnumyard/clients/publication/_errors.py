"""Why a configuration was not published or could not be read."""

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
    """The closed list of reasons."""

    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two changes of one configuration.

    Parameters
    ----------
    current
        The head in force: the other operator's publication.
    ours
        What the refused proposal would have changed; without a base, in the
        configuration in force.
    theirs
        What was changed since the version that the proposal started from.
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
        What was met and the remedy, in one sentence.
    conflict
        Both changes, where another operator came first.
    """

    kind: PublishErrorKind
    detail: str
    conflict: Conflict | None = None


def unreachable(fault: StoreError) -> PublishError:
    """Return the error for a call after which nothing was published.

    Parameters
    ----------
    fault
        What the store's client reported.

    Returns
    -------
    PublishError
        Of kind ``REFUSED`` where a second try can't help.
    """
    if fault.kind is StoreErrorKind.TOO_LARGE:
        detail = 'a value is too large for the store; split the files'
        return PublishError(PublishErrorKind.REFUSED, detail)
    reason = fault.detail or fault.kind.value
    detail = f'the store gave no answer ({reason}); try again'
    return PublishError(PublishErrorKind.UNREACHABLE, detail)


def malformed(problems: Iterable[Problem]) -> PublishError:
    """Return the error for content of the store that can't be used."""
    detail = '; '.join(map(str, problems))
    return PublishError(PublishErrorKind.MALFORMED, detail)
