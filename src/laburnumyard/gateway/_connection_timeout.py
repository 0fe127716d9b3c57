"""Timeout of a caller connection."""

import asyncio
from collections.abc import Callable

from laburnumyard.gateway._task_supervision import confined


class ConnectionTimeout:
    """The one timeout of a connection; starting it replaces the earlier one.

    Parameters
    ----------
    loop
        Event loop of the connection.
    on_fault
        Called if a callback raises.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_fault: Callable[[], None],
    ) -> None:
        """Create a timeout that is not running."""
        self.loop = loop
        self.on_fault = on_fault
        self.timer: asyncio.TimerHandle | None = None

    def start(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        self.stop()
        self.timer = self.loop.call_later(delay_s, self.expire, callback)

    def stop(self) -> None:
        """Cancel the current timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def expire(self, callback: Callable[[], None]) -> None:
        """Call the function of a timeout that has passed."""
        with confined('connection-timeout', self.on_fault):
            callback()
