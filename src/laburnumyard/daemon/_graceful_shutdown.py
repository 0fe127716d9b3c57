"""Graceful shutdown: drains a daemon without dropping a request."""

import anyio

from laburnumyard.core import membership
from laburnumyard.daemon._cluster_view import LifecycleStage
from laburnumyard.daemon._daemon import Daemon
from laburnumyard.daemon._http_server import HttpServer
from laburnumyard.telemetry._log import Event, log_event

POLL_INTERVAL_S = 0.02
# Lets the last heartbeats and answers be sent after the drain.
FINAL_SEND_DELAY_S = 0.1


class GracefulShutdown:
    """Shuts one daemon down in stages.

    Parameters
    ----------
    daemon
        The daemon to shut down.
    server
        The HTTP server for its callers.
    """

    def __init__(self, daemon: Daemon, server: HttpServer) -> None:
        """Initialise; the shutdown starts with ``run``."""
        self.daemon = daemon
        self.server = server

    async def run(self) -> None:
        """Hand roles over, stop accepting, and wait for requests in flight."""
        is_superseded = self.daemon.members.superseded.is_set()
        has_callers = self.daemon.is_ready and not is_superseded
        self._announce()
        if has_callers:
            await anyio.sleep(self.daemon.settings.timing.leave_notice_s)
        await self._close()
        timeout = self.daemon.settings.timing.drain_timeout_s
        with anyio.move_on_after(timeout) as drain:
            await self._wait_idle()
        if drain.cancelled_caught:
            log_event(Event.STOPPING, 'WARNING', reason='drain-timeout')
        await anyio.sleep(FINAL_SEND_DELAY_S)

    def _announce(self) -> None:
        """Report not-ready and hand roles over; callers are still served."""
        daemon = self.daemon
        log_event(Event.STOPPING, daemon=daemon.view.name)
        daemon.view.stage = LifecycleStage.LEAVING
        daemon.members.feed(membership.Leave())
        daemon.ownership.leave()
        self.server.disable_keep_alive()

    async def _close(self) -> None:
        """Stop accepting connections, then stop accepting requests."""
        self.server.should_exit = True
        while self.server.is_listening:  # noqa: ASYNC110
            await anyio.sleep(POLL_INTERVAL_S)
        self.daemon.view.stage = LifecycleStage.DRAINING
        self.daemon.ticket_service.ledger.drain()

    async def _wait_idle(self) -> None:
        # The state machines have no common "idle" event to wait for.
        while not self._is_idle():  # noqa: ASYNC110
            await anyio.sleep(POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        daemon = self.daemon
        in_flight = (
            daemon.caller_app.in_flight + daemon.ticket_service.ledger.running
        )
        return (
            in_flight == 0
            and self.server.is_flushed
            and daemon.targets.is_idle
            and daemon.ownership.is_handed_over
        )
