"""Notices callers that close their connection before their answer."""

import asyncio

import anyio

from laburnumyard.daemon._asgi import Receive

SWEEP_INTERVAL_S = 0.05


class WatchedCaller:
    """A caller that waits for its answer.

    Parameters
    ----------
    receive
        Returns once the caller has closed the connection.
    task
        Serves the caller; it is cancelled once the caller is gone.
    """

    def __init__(self, receive: Receive, task: 'asyncio.Task[None]') -> None:
        """Start unwatched; most answers come before the next sweep."""
        self.receive = receive
        self.task = task
        self.is_disconnected = False
        self.is_served = False
        self.watcher: anyio.CancelScope | None = None

    async def cancel_on_disconnect(self) -> None:
        """Cancel the work for the caller once it is gone."""
        self.watcher = anyio.CancelScope()
        with self.watcher:
            await self._wait_disconnect()
            if not self.is_served:
                self.is_disconnected = True
                self.task.cancel()

    async def _wait_disconnect(self) -> None:
        # A request without a body still has its empty one to be received.
        message = await self.receive()
        while message['type'] != 'http.disconnect':
            message = await self.receive()


class DisconnectWatcher:
    """Watches the callers whose answer takes long.

    A task for each request would cost more than most requests; a sweep starts
    one only for those that are still in flight at the second sweep. Nor does
    each have a cancel scope of its own: the task of its request ends with it.
    """

    def __init__(self) -> None:
        """Start with no caller."""
        self.new_callers: set[WatchedCaller] = set()
        self.slow_callers: set[WatchedCaller] = set()

    def start(self, receive: Receive) -> WatchedCaller:
        """Cancel the current task once its caller is gone, until ``stop``."""
        caller = WatchedCaller(receive, asyncio.current_task())
        self.new_callers.add(caller)
        return caller

    def stop(self, caller: WatchedCaller) -> None:
        """Watch a caller no longer; its work has ended."""
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
