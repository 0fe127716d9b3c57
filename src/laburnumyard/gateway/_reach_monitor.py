"""Probes targets when this gateway may have lost its links to all of them."""

import random
from collections.abc import Callable

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.reachability import Reach, TargetReach
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._connection_probe import accepts_connections
from laburnumyard.telemetry import METRICS, Event, log_event

CHECK_INTERVAL_S = 0.1
# Interval between rounds of probes of a gateway that reaches targets: one dead
# target must not cost many connections.
DOUBT_INTERVAL_S = 0.5
# Targets that are probed in one round.
PROBES = 4


class ReachMonitor:
    """Keeps the reach of this gateway current.

    Parameters
    ----------
    view
        Known targets.
    reach
        Evidence from connections.

    Attributes
    ----------
    on_lost
        Called when no target can be reached any more.
    """

    def __init__(self, view: ClusterView, reach: TargetReach) -> None:
        """Create a monitor of a gateway that reaches its targets."""
        self.view = view
        self.reach = reach
        self.on_lost: list[Callable[[], None]] = []

    async def run(self) -> None:
        """Probe targets while there is doubt, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self.reach.needs_probe(boot_time()):
                await self.probe_round()
                if not self.reach.is_lost:
                    await anyio.sleep(DOUBT_INTERVAL_S)

    async def probe_round(self) -> None:
        """Connect to some targets at once and record how many accept."""
        addresses = [
            record.address
            for record in self.view.directory.values()
            if record.accepts_requests
        ]
        chosen = random.sample(addresses, min(PROBES, len(addresses)))
        connected: list[str] = []
        async with anyio.create_task_group() as tasks:
            for address in chosen:
                tasks.start_soon(_probe, address, connected)
        now = boot_time()
        if not self.reach.note_probes(len(connected), len(chosen), now):
            return
        METRICS.count('reach_changes_total', state=self.reach.state.value)
        is_lost = self.reach.state is Reach.LOST
        log_event(
            Event.REACH,
            'WARNING' if is_lost else 'INFO',
            state=self.reach.state,
            probes=len(chosen),
            connected=len(connected),
        )
        if is_lost:
            for callback in self.on_lost:
                callback()


async def _probe(address: str, connected: list[str]) -> None:
    if await accepts_connections(address):
        connected.append(address)
