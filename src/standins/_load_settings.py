"""What the callers' load sends."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class CallerClass:
    """One kind of caller, with its own connections.

    Parameters
    ----------
    name
        The class's name in the report.
    path
        The path, such as ``/catalogue/read``.
    method
        The HTTP method.
    customer, token
        Whom the callers claim to be.
    connections
        How many connections are kept.
    rate
        Requests per second, 0 for a closed loop.
    start_s, duration_s
        When the class starts and how long it sends, in seconds.
    count
        The most requests that are sent, 0 for no such bound.
    keys, key_prefix, hot_share
        How many keys are drawn, what they begin with, and the share of
        requests for the first one.
    deadline_ms
        The deadline of each request.
    size, work_ms
        What the target stand-in is asked for: answer bytes and work time.
    body_bytes
        The size of each request's body.
    tickets
        Whether requests are not repeatable and carry tickets.
    resends
        How often a ticket is sent again after a broken connection or while
        its first submission still runs.
    key_hash
        Sent to a bare target in place of a key, where not empty.
    """

    name: str = 'callers'
    path: str = '/catalogue/read'
    method: str = 'GET'
    customer: str = ''
    token: str = ''
    connections: int = 20
    rate: float = 0
    start_s: float = 0
    duration_s: float = 5
    count: int = 0
    keys: int = 1000
    key_prefix: str = 'key-'
    hot_share: float = 0
    deadline_ms: int = 2000
    size: int = 1024
    work_ms: float = 0
    body_bytes: int = 0
    tickets: bool = False
    resends: int = 5
    key_hash: str = ''


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """A whole load.

    Parameters
    ----------
    addresses
        The daemons' caller addresses; connections are spread over them.
    classes
        The callers.
    seed
        Draws the keys.
    timeout_s
        The longest wait for one answer, in seconds.
    keep_outcomes
        Whether the outcome of each request is kept for an observer.
    """

    addresses: tuple[str, ...]
    classes: tuple[CallerClass, ...]
    seed: int = 1
    timeout_s: float = 10
    keep_outcomes: bool = False


def read_classes(rows: list[Mapping[str, Any]]) -> tuple[CallerClass, ...]:
    """Return caller classes from JSON objects with the same names."""
    return tuple(CallerClass(**row) for row in rows)
