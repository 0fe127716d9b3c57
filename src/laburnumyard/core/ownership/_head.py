"""The head of a service's assignment, as the store keeps it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

from expression import Error, Ok, Result
from pydantic import (
    ConfigDict,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
)

from laburnumyard.core.ids import (
    ChangeId,
    DaemonName,
    DataCentre,
    Incarnation,
    TargetName,
    Term,
    Version,
)
from laburnumyard.schema._generated.messages import Assignment

MAX_COUNTER = 9_223_372_036_854_775_807
MAX_NAME_LENGTH = 256
MAX_CHUNKS = 4096
_STRICT = ConfigDict(extra='forbid', strict=True)

_COUNTER = Field(ge=0, le=MAX_COUNTER)
_TEXT = StringConstraints(min_length=1, max_length=MAX_NAME_LENGTH)
_Digest = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]


@dataclass(frozen=True, slots=True)
class Scope:
    """The lease manager of a service's targets in one data centre.

    Parameters
    ----------
    term
        Its fencing token, unique and rising over the whole service.
    manager
        The name of the daemon that runs it.
    incarnation
        The incarnation of that daemon.
    change
        The last change that this manager made; settles a lost answer even
        after other managers have changed the head again.
    """

    __pydantic_config__ = _STRICT

    term: Annotated[Term, _COUNTER]
    manager: Annotated[DaemonName, _TEXT]
    incarnation: Annotated[Incarnation, _COUNTER]
    change: Annotated[ChangeId, _TEXT]


@dataclass(frozen=True, slots=True)
class Head:
    """What one compare-and-swap replaces: terms and assignment of a service.

    Parameters
    ----------
    version
        Rises by one with each change.
    change
        The unique id of the change that wrote this head.
    chunks
        The digests of the chunks of the assignment, in order.
    scopes
        The lease manager of each data centre of targets.
    homes
        The data centre of every target that owns ranges; also of targets
        that the configuration no longer names.
    withdrawn
        Targets that take no further ranges: lost or draining ones.
    guards
        The daemon that holds the grants of each target without fencing.
    draining
        Targets that somebody has said to be leaving; kept here so that the
        word outlives the daemon that heard it.
    settling
        Targets at which work that a former guard sent may still be running.
    """

    __pydantic_config__ = _STRICT

    version: Annotated[Version, _COUNTER]
    change: Annotated[ChangeId, _TEXT]
    chunks: Annotated[tuple[_Digest, ...], Field(max_length=MAX_CHUNKS)]
    scopes: Mapping[
        Annotated[DataCentre, _TEXT],
        Scope,
    ] = field(default_factory=dict)
    homes: Mapping[
        Annotated[TargetName, _TEXT],
        Annotated[DataCentre, _TEXT],
    ] = field(default_factory=dict)
    withdrawn: tuple[Annotated[TargetName, _TEXT], ...] = ()
    guards: Mapping[
        Annotated[TargetName, _TEXT],
        Annotated[DaemonName, _TEXT],
    ] = field(default_factory=dict)
    draining: tuple[Annotated[TargetName, _TEXT], ...] = ()
    settling: tuple[Annotated[TargetName, _TEXT], ...] = ()

    @property
    def highest_term(self) -> Term:
        """The highest term that any manager of the service has taken."""
        terms = [scope.term for scope in self.scopes.values()]
        return max(terms, default=Term(0))


def needs_manager(
    scope: Scope | None,
    live: Mapping[DaemonName, Incarnation],
) -> bool:
    """Tell whether a scope has no manager that runs.

    Parameters
    ----------
    scope
        The scope's entry in the head; ``None`` if it has none.
    live
        The newest known incarnation of each daemon that is thought to run. A
        daemon that has been restarted manages nothing of what its earlier
        process did; an older incarnation than the manager's says nothing.

    Returns
    -------
    bool
        Whether the daemon that comes first in order should take over.
    """
    if scope is None or scope.manager not in live:
        return True
    return live[scope.manager] > scope.incarnation


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One state of a service's assignment in the store.

    Parameters
    ----------
    head
        The head.
    assignment
        The assignment that its chunks hold.
    revision
        The store's revision of the head, for the next compare-and-swap.
    """

    head: Head
    assignment: Assignment
    revision: int


@dataclass(frozen=True, slots=True)
class MalformedContent:
    """Stored content that cannot be used.

    Parameters
    ----------
    detail
        The bad value and the remedy, in one sentence.
    """

    detail: str


_HEAD = TypeAdapter(Head)


def encode_head(head: Head) -> bytes:
    """Return the JSON of a head."""
    return _HEAD.dump_json(head)


def decode_head(content: bytes) -> Result[Head, MalformedContent]:
    """Return the head of JSON that may come from anywhere.

    Parameters
    ----------
    content
        The bytes of the store's value.

    Returns
    -------
    Result
        The head, or why the bytes are none.

    Examples
    --------
    >>> decode_head(b'{}').is_error()
    True
    """
    try:
        head = _HEAD.validate_json(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        place = '.'.join(map(str, first['loc'])) or 'content'
        problem = first['msg']
        return Error(
            MalformedContent(
                f'assignment head: {place}: {problem}; '
                'restore it from its last good value',
            ),
        )
    return Ok(head)
