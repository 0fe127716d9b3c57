"""Bounds how many requests of one connection run beside those of others."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

# Requests of all connections that may run before each connection gets only a
# few: about as many as are answered within a fraction of a second.
BUSY_REQUESTS = 256
FAIR_REQUESTS = 4


@dataclass(slots=True)
class RunningRequests:
    """Requests of all connections that have been started and not answered."""

    number: int = 0

    @property
    def are_many(self) -> bool:
        """Whether a connection with several requests has to wait."""
        return self.number >= BUSY_REQUESTS


class RequestStarts:
    """Starts the requests of one connection, in order.

    While many requests run, a connection gets the next one started only when
    one of its own has ended. So a caller that pipelines without end doesn't
    delay others by all its requests.

    Parameters
    ----------
    running
        Running requests of all connections.
    start
        Starts a request; its arguments are those of ``add``.
    """

    def __init__(
        self, running: RunningRequests, start: Callable[..., None]
    ) -> None:
        """Create the object without requests."""
        self.running = running
        self.start = start
        self.waiting: deque[tuple[Any, ...]] = deque()
        self.started = 0

    def add(self, *request: Any) -> None:
        """Start a request, now or when another one has ended."""
        self.waiting.append(request)
        self.start_next()

    def start_next(self) -> None:
        """Start the requests that need not wait."""
        while self.waiting and not self.must_wait:
            self.started += 1
            self.running.number += 1
            self.start(*self.waiting.popleft())

    @property
    def must_wait(self) -> bool:
        """Whether the next request waits for one that runs."""
        return self.started >= FAIR_REQUESTS and self.running.are_many

    def note_end(self) -> None:
        """Note that a request has ended."""
        self.started -= 1
        self.running.number -= 1
        self.start_next()

    def drop_waiting(self) -> None:
        """Forget the requests that were not started."""
        self.waiting.clear()
