"""Typed commands, one class for each command of the command line."""

from dataclasses import dataclass

from laburnumyard.core.ids import ServiceName, TargetName, Version


@dataclass(frozen=True, slots=True)
class Daemon:
    """Run a daemon with a settings file."""

    settings: str


@dataclass(frozen=True, slots=True)
class Check:
    """Validate files without publishing them."""

    files: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Diff:
    """Compare files with the current configuration."""

    files: tuple[str, ...]
    store: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish files as the new configuration."""

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
    """Describe one error kind, or all if empty."""

    kind: str


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Explain where a request would go now."""

    gateway: str
    host: str
    path: str
    key: str


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
    """Move the key range that contains a key to a target."""

    admin: str
    service: ServiceName
    key: str
    target: TargetName


@dataclass(frozen=True, slots=True)
class Drain:
    """Move all ranges off a target, or make it eligible again."""

    admin: str
    target: TargetName
    draining: bool


Command = (
    Daemon
    | Check
    | Diff
    | Publish
    | History
    | Explain
    | ExplainRequest
    | Status
    | Owner
    | Move
    | Drain
)


@dataclass(frozen=True, slots=True)
class Request:
    """A command and its output format.

    Parameters
    ----------
    command
        The command to execute.
    json
        Whether the output is one JSON document.
    """

    command: Command
    json: bool
