"""Detects callers that disconnect before they are answered."""

import asyncio

import anyio

from laburnumyard.daemon._asgi import Receive

SWEEP_INTERVAL_S = 0.05


class WatchedCaller:
    """A caller that waits for its response.

    Parameters
    ----------
    receive
        ASGI receive callable; reports the disconnect.
    task
        Serves the caller; cancelled when the caller disconnects.
    """

    def __init__(self, receive: Receive, task: 'asyncio.Task[None]') -> None:
        """Initialise unwatched; most requests end before the next sweep."""
        self.receive = receive
        self.task = task
        self.is_disconnected = False
        self.is_served = False
        self.watcher: anyio.CancelScope | None = None

    async def cancel_on_disconnect(self) -> None:
        """Cancel the caller's task once the caller has disconnected."""
        self.watcher = anyio.CancelScope()
        with self.watcher:
            await self._wait_disconnect()
            if not self.is_served:
                self.is_disconnected = True
                self.task.cancel()

    async def _wait_disconnect(self) -> None:
        # ASGI delivers an empty body first for a request without one.
        message = await self.receive()
        while message['type'] != 'http.disconnect':
            message = await self.receive()


class DisconnectWatcher:
    """Watches the callers of slow requests.

    A task for each request would cost more than most requests, so a watcher is
    started only for requests still in flight at the second sweep. For the same
    reason no request has its own cancel scope: its task is cancelled instead.
    """

    def __init__(self) -> None:
        """Initialise with no caller."""
        self.new_callers: set[WatchedCaller] = set()
        self.slow_callers: set[WatchedCaller] = set()

    def start(self, receive: Receive) -> WatchedCaller:
        """Cancel the current task if its caller disconnects before ``stop``."""
        caller = WatchedCaller(receive, asyncio.current_task())
        self.new_callers.add(caller)
        return caller

    def stop(self, caller: WatchedCaller) -> None:
        """Stop watching a caller whose request has ended."""
        caller.is_served = True
        self.new_callers.discard(caller)
        self.slow_callers.discard(caller)
        if caller.watcher is not None:
            caller.watcher.cancel()

    async def run(self) -> None:
        """Sweep until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                for caller in self.slow_callers:
                    tasks.start_soon(caller.cancel_on_disconnect)
                self.slow_callers = self.new_callers
                self.new_callers = set()
