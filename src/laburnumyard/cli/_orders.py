"""What an operator may order: one typed message for each command."""

from dataclasses import dataclass

from laburnumyard.core.ids import ServiceName, TargetName, Version


@dataclass(frozen=True, slots=True)
class Daemon:
    """Run a daemon with a settings file."""

    settings: str


@dataclass(frozen=True, slots=True)
class Check:
    """Check files without publishing them."""

    files: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Diff:
    """Compare files with the configuration in force."""

    files: tuple[str, ...]
    store: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Put files in force."""

    files: tuple[str, ...]
    store: str
    base: Version
    author: str
    note: str


@dataclass(frozen=True, slots=True)
class History:
    """List publications."""

    store: str
    limit: int


@dataclass(frozen=True, slots=True)
class Explain:
    """Describe one error kind, or all where none is named."""

    kind: str


@dataclass(frozen=True, slots=True)
class Status:
    """Show the state of a daemon."""

    admin: str


@dataclass(frozen=True, slots=True)
class Owner:
    """Show which target owns a key."""

    admin: str
    service: ServiceName
    key: str


@dataclass(frozen=True, slots=True)
class Move:
    """Move the range of a key to a target."""

    admin: str
    service: ServiceName
    key: str
    target: TargetName


@dataclass(frozen=True, slots=True)
class Drain:
    """Move all ranges away from a target, or let it have ranges again."""

    admin: str
    target: TargetName
    draining: bool


Order = (
    Daemon
    | Check
    | Diff
    | Publish
    | History
    | Explain
    | Status
    | Owner
    | Move
    | Drain
)


@dataclass(frozen=True, slots=True)
class Request:
    """An order and the form of its output.

    Parameters
    ----------
    order
        What to do.
    json
        Whether the output is one JSON document.
    """

    order: Order
    json: bool
