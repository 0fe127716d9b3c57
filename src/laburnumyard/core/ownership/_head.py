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
        Its term, unique and increasing over the whole service.
    manager
        The name of the daemon that runs it.
    incarnation
        The incarnation of that daemon.
    change
        The id of the manager's last change. It shows whether a swap with a
        lost answer was applied, even after other managers changed the head.
    """

    __pydantic_config__ = _STRICT

    term: Annotated[Term, _COUNTER]
    manager: Annotated[DaemonName, _TEXT]
    incarnation: Annotated[Incarnation, _COUNTER]
    change: Annotated[ChangeId, _TEXT]


@dataclass(frozen=True, slots=True)
class Head:
    """The terms and assignment of a service, replaced by compare-and-swap.

    Parameters
    ----------
    version
        Increases by one with each change.
    change
        The unique id of the change that wrote this head.
    chunks
        The digests of the chunks of the assignment, in order.
    scopes
        The lease manager of each data centre of targets.
    homes
        The data centre of each target that owns ranges, including targets
        that the configuration no longer names.
    withdrawn
        Targets that get no further ranges: lost or draining ones.
    guards
        The daemon that holds the grants of each target without fencing.
    draining
        Targets that an operator has ordered to be drained; stored so that
        the order outlives the daemon that received it.
    settling
        Targets that may still be running requests of a former guard.
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
    """Tell whether a scope has no running manager.

    Parameters
    ----------
    scope
        The scope's entry in the head; ``None`` if it has none.
    live
        The newest known incarnation of each daemon believed to be running. A
        restarted daemon does not manage the scopes of its earlier process; an
        incarnation older than the manager's proves nothing.

    Returns
    -------
    bool
        Whether the first daemon in the rendezvous order should take over.
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
        The invalid value and the remedy, in one sentence.
    """

    detail: str


_HEAD = TypeAdapter(Head)


def encode_head(head: Head) -> bytes:
    """Return a head as JSON."""
    return _HEAD.dump_json(head)


def decode_head(content: bytes) -> Result[Head, MalformedContent]:
    """Decode a head from JSON of an untrusted source.

    Parameters
    ----------
    content
        The value that the store holds.

    Returns
    -------
    Result
        The head, or why the content is not a valid head.

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
