"""Takes a daemon out of service without cutting off a request."""

import anyio

from laburnumyard.core import membership
from laburnumyard.daemon._cluster_view import Stage
from laburnumyard.daemon._daemon import Node
from laburnumyard.daemon._http_server import HttpServer
from laburnumyard.telemetry._log import Event, log_event

POLL_INTERVAL_S = 0.02
# What the last heartbeats and answers need to leave after a drain.
PARTING_S = 0.1


class Departure:
    """The end of one daemon, in stages.

    Parameters
    ----------
    node
        The daemon.
    server
        Serves its callers.
    """

    def __init__(self, node: Node, server: HttpServer) -> None:
        """Keep the daemon."""
        self.node = node
        self.server = server

    async def run(self) -> None:
        """Hand roles over, send callers away, end what is in flight."""
        is_superseded = self.node.members.superseded.is_set()
        has_callers = self.node.is_ready and not is_superseded
        self._announce()
        if has_callers:
            await anyio.sleep(self.node.settings.timing.leave_notice_s)
        await self._close()
        timeout = self.node.settings.timing.drain_timeout_s
        with anyio.move_on_after(timeout) as drain:
            await self._wait_idle()
        if drain.cancelled_caught:
            log_event(Event.STOPPING, 'WARNING', reason='drain-timeout')
        await anyio.sleep(PARTING_S)

    def _announce(self) -> None:
        """Turn not-ready and hand roles over; callers are still served."""
        node = self.node
        log_event(Event.STOPPING, daemon=node.view.name)
        node.view.stage = Stage.LEAVING
        node.members.feed(membership.Leave())
        node.ownership.leave()
        self.server.close_kept()

    async def _close(self) -> None:
        """Take no more connections, then no more requests."""
        self.server.should_exit = True
        while self.server.is_listening:  # noqa: ASYNC110
            await anyio.sleep(POLL_INTERVAL_S)
        self.node.view.stage = Stage.DRAINING
        self.node.office.ledger.drain()

    async def _wait_idle(self) -> None:
        # The state machines have no common event of rest.
        while not self._is_idle():  # noqa: ASYNC110
            await anyio.sleep(POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        node = self.node
        in_flight = node.entry.in_flight + node.office.ledger.running
        return (
            in_flight == 0
            and self.server.is_flushed
            and node.targets.is_idle
            and node.ownership.is_handed_over
        )
