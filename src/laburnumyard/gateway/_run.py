"""Process lifecycle of a gateway: start, serve, reload and drain."""

import asyncio
import gc
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from http import HTTPStatus

import anyio

from laburnumyard.clocks import boot_time, new_incarnation
from laburnumyard.core.ids import DaemonName, DataCentre, Incarnation, Seconds
from laburnumyard.core.memory_account import Holder
from laburnumyard.core.reachability import TargetReach
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._coordinator_elections import Elections
from laburnumyard.gateway._coordinator_roles import Coordination
from laburnumyard.gateway._derived_settings import (
    FETCH_LINK_SETTINGS,
    LINK_SETTINGS,
    derive_settings,
)
from laburnumyard.gateway._http_messages import CallerRequest, CallerResponse
from laburnumyard.gateway._http_server import CallerServer
from laburnumyard.gateway._item_server import ItemServer
from laburnumyard.gateway._peer_reader import PeerReader
from laburnumyard.gateway._platform_interface import Platform
from laburnumyard.gateway._reach_monitor import ReachMonitor
from laburnumyard.gateway._relay_client import RelayClient
from laburnumyard.gateway._relay_server import RelayServer
from laburnumyard.gateway._request_explainer import (
    EXPLAIN_PATH,
    RequestExplainer,
)
from laburnumyard.gateway._request_router import RequestRouter
from laburnumyard.gateway._slot_acquisition import Slots
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_session import Session
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.gateway._target_connection_pool import TargetConnectionPool
from laburnumyard.gateway._task_supervision import (
    SupervisedTasks,
    confine,
    log_fault,
)
from laburnumyard.intake import (
    MachineLimits,
    derive_bounds,
    map_large_buffers,
    read_machine_limits,
)
from laburnumyard.schema._generated import messages
from laburnumyard.schema._generated.gateway import GatewaySettings
from laburnumyard.telemetry import METRICS, Event, log_event
from laburnumyard.wire import Connection, LinkPool, LinkServer

Reload = Callable[[], GatewaySettings | None]

MILLI_CORES = 1000
# Interval between reads of the settings, which may change without a signal.
RELOAD_INTERVAL_S = 2.0
# Interval at which the bytes that links hold are counted.
FRAMES_INTERVAL_S = 1.0
# The load balancer removes a gateway after two failed checks, one a second,
# and sends new connections until then.
LOAD_BALANCER_DELAY_S = 2.6
# Part of the shutdown grace period that is reserved for process exit.
EXIT_RESERVE_S = 0.5
# Timeout for the store to end the session.
SESSION_CLOSE_TIMEOUT_S = 0.5


class Gateway:
    """All parts of a gateway process.

    Parameters
    ----------
    settings
        Validated settings.
    reload
        Reads the settings again; returns None if they are invalid.
    platform
        Platform that the gateway runs on.
    tasks
        All background tasks.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reload: Reload,
        platform: Platform,
        tasks: SupervisedTasks,
    ) -> None:
        """Create all parts without starting them."""
        self.settings = settings
        self.reload = reload
        self.tasks = tasks
        daemon = settings.daemon
        self.member = Member(
            DaemonName(daemon.name),
            settings.listen.peers,
            new_incarnation(),
            settings.machine.cores,
        )
        hello = messages.Hello(
            daemon.name,
            self.member.incarnation,
            daemon.data_centre,
            daemon.region,
            settings.listen.peers,
        )
        self.view = ClusterView()
        self.view.note_cores(round(settings.machine.cores * MILLI_CORES))
        health = StoreHealth()
        self.reach_monitor = ReachMonitor(self.view, TargetReach())
        self.reach_monitor.on_lost.append(self.handle_targets_lost)
        platform.store.on_restored.append(health.note_restored)
        self.session = Session(
            platform.store, health, settings.store, self.member
        )
        derived_settings = derive_settings(settings.bounds)
        self.link_pool = LinkPool(hello, LINK_SETTINGS)
        fetch_pool = LinkPool(hello, FETCH_LINK_SETTINGS)
        self.coordination = Coordination(
            platform,
            self.view,
            self.session,
            derived_settings,
            self.link_pool,
            tasks,
        )
        self.session.is_needed = self.coordination.has_roles
        self.elections = Elections(
            platform.store, self.view, self.session, self.coordination, tasks
        )
        self.elections.reach = self.reach_monitor.reach
        self.watcher = StoreWatcher(
            platform, self.view, health, self.coordination.has_roles
        )
        self.item_server = ItemServer(self.watcher)
        for pool in (self.link_pool, fetch_pool):
            pool.on_lost.append(self.elections.suspect)
        self.peer_reader = PeerReader(
            self.watcher,
            health,
            self.view,
            fetch_pool,
            self.member,
            settings.machine.peers,
        )
        self.peer_server = LinkServer(
            settings.listen.peers,
            hello,
            self.handle_message,
            settings=LINK_SETTINGS,
        )
        self.slots = Slots(
            self.watcher,
            self.view,
            self.elections,
            self.link_pool,
            derived_settings,
        )
        machine = settings.machine
        bounds = derive_bounds(
            MachineLimits(machine.memory_mb, machine.max_descriptors),
            read_machine_limits(),
            machine.connections_per_address,
        )
        account = bounds.account
        self.connection_pool = TargetConnectionPool(
            account, self.target_connection_limit
        )
        self.router = RequestRouter(
            platform.wire_format,
            self.view,
            self.slots,
            self.connection_pool,
            DataCentre(daemon.data_centre),
            self.reach_monitor.reach,
        )
        self.router.slot_check.grant_life_s = derived_settings.grant_life_s
        self.router.relay = RelayClient(
            self.view, self.link_pool, self.peer_reader.readers
        )
        self.relay_server = RelayServer(
            platform.wire_format,
            partial(self.router.process, may_relay=False),
            self.can_relay,
            account,
        )
        self.caller_server = CallerServer(
            self.router.serve,
            self.limits,
            tasks,
            account,
            bounds.callers,
        )
        METRICS.watch('held_bytes', 'holder', account.gauges)
        account.make_room = self.caller_server.make_room
        self.readiness_server = CallerServer(
            self.serve_readiness,
            CallerLimits,
            tasks,
            account,
            bounds.operators,
        )
        self.caller_server.cut_first.append(self.readiness_server)

    @property
    def health(self) -> StoreHealth:
        """Reachability of the store."""
        return self.session.health

    @property
    def is_leaving(self) -> bool:
        """Whether the process is about to stop."""
        return self.caller_server.is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        has_targets = bool(self.view.directory)
        has_routes = self.view.routes is not None
        return has_routes and has_targets and not self.is_leaving

    def handle_message(
        self, link: Connection, message: messages.Message
    ) -> Awaitable[None] | None:
        """Handle a message of another gateway, now or in the background."""
        if link.remote is not None:
            self.view.note_member(
                Member(
                    DaemonName(link.remote.daemon),
                    link.remote.peer_address,
                    Incarnation(link.remote.incarnation),
                )
            )
        if isinstance(message, messages.FetchItems):
            return self.item_server.serve(link, message)
        if isinstance(message, messages.Submit):
            return self.relay_server.serve(link, message)
        if isinstance(message, messages.Explain):
            return self.coordination.decisions.answer(
                self.coordination.dispatcher_of, link, message
            )
        if isinstance(message, messages.Cancel):
            self.relay_server.cancel(link, message.number)
        self.coordination.handle_message(message, link)
        return None

    def can_relay(self) -> bool:
        """Whether requests of peers can be served."""
        return not (self.is_leaving or self.reach_monitor.reach.is_lost)

    def target_connection_limit(self) -> float:
        """Return how many connections to targets may be open."""
        server = self.caller_server
        return server.connection_limits.target_limit(len(server.connections))

    def limits(self) -> CallerLimits:
        """Return the current limits for callers."""
        table = self.view.routes
        return table.limits if table else CallerLimits()

    async def serve_metrics(
        self, explainer: RequestExplainer, request: CallerRequest
    ) -> CallerResponse:
        """Serve the metrics page, and explanations to operators."""
        if request.path.partition('?')[0] == EXPLAIN_PATH:
            return await explainer.serve(request)
        headers = (('content-type', 'text/plain; charset=utf-8'),)
        content = METRICS.render().encode()
        return CallerResponse(HTTPStatus.OK, headers, content)

    async def listen(self) -> None:
        """Listen on all addresses; failure of the metrics port is logged."""
        listen = self.settings.listen
        await self.readiness_server.listen(listen.readiness)
        await self.caller_server.listen(listen.callers)
        if listen.metrics_port:
            host, _, _ = listen.callers.rpartition(':')
            explainer = RequestExplainer(self.slots, self.link_pool.identity)
            metrics_server = CallerServer(
                partial(self.serve_metrics, explainer),
                CallerLimits,
                self.tasks,
                self.caller_server.account,
                self.readiness_server.connection_limits,
            )
            self.caller_server.cut_first.append(metrics_server)
            try:
                await metrics_server.listen(f'{host}:{listen.metrics_port}')
            except OSError as fault:
                log_event(
                    Event.FAULT, 'ERROR', work='metrics', fault=repr(fault)
                )

    async def serve_readiness(self, request: CallerRequest) -> CallerResponse:
        """Serve a readiness check."""
        if self.is_ready:
            return CallerResponse(HTTPStatus.OK)
        return CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE)

    async def serve(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Serve until a signal ends the process, then drain."""
        async with self.peer_server, self.link_pool, self.peer_reader.pool:
            await self.listen()
            self.watcher.start(self.tasks)
            for start in (
                self.session.run,
                self.coordination.run,
                self.elections.run,
                self.slots.tick,
                self.router.slot_check.run,
                self.peer_reader.run,
                self.reach_monitor.run,
                self.watch_settings,
                self.count_frames,
            ):
                self.tasks.keep_running(start.__qualname__, start)
            log_event(
                Event.STARTED,
                daemon=self.member.name,
                incarnation=self.member.incarnation,
                data_centre=self.settings.daemon.data_centre,
                callers=self.settings.listen.callers,
            )
            await self.wait_for_end(signals)
            await self.drain()

    async def wait_for_end(
        self, signals: AsyncIterator[signal.Signals]
    ) -> None:
        """Wait for a terminating signal; SIGHUP reloads the settings."""
        async for received in signals:
            if received is not signal.SIGHUP:
                return
            await confine('reload', self.reload_settings, 'SIGHUP')

    async def watch_settings(self) -> None:
        """Reload the settings periodically until cancelled."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            await self.reload_settings('interval')

    async def count_frames(self) -> None:
        """Count the frames of peers in the account until cancelled.

        They are bounded for each link; counting each would cost more.
        """
        while True:
            await anyio.sleep(FRAMES_INTERVAL_S)
            size = self.peer_server.held_bytes + self.link_pool.held_bytes
            self.caller_server.account.note(Holder.FRAMES, size)

    async def reload_settings(self, cause: str) -> None:
        """Apply changed settings; listen addresses need a restart."""
        settings = self.reload()
        if settings is None or settings == self.settings:
            return
        self.settings = settings
        self.peer_reader.addresses = tuple(settings.machine.peers)
        derived_settings = derive_settings(settings.bounds)
        self.coordination.derived_settings = derived_settings
        self.slots.derived_settings = derived_settings
        self.router.slot_check.grant_life_s = derived_settings.grant_life_s
        log_event(
            Event.RELOADED,
            cause=cause,
            peers=len(settings.machine.peers),
        )

    async def drain(self) -> None:
        """Hand over the roles and finish the requests in flight."""
        started = boot_time()
        end = Seconds(started + self.settings.bounds.grace_s - EXIT_RESERVE_S)
        self.router.ends_at = end
        self.caller_server.announce_leaving()
        log_event(
            Event.STOPPING,
            daemon=self.member.name,
            in_flight=self.caller_server.in_flight,
            roles=len(self.coordination.roles),
        )
        if self.health.is_reachable or not self.coordination.roles:
            await confine('hand-over', self.hand_over)
        closes_at = min(started + LOAD_BALANCER_DELAY_S, end)
        await anyio.sleep(closes_at - boot_time())
        self.caller_server.close_idle()
        with anyio.move_on_after(max(0, end - boot_time())):
            await self.caller_server.wait_idle()
            await self.relay_server.wait_idle()
            await self.caller_server.wait_idle()
        self.caller_server.close_unread()
        if self.coordination.roles:
            await confine('hand-over', self.hand_over)
        log_event(
            Event.STOPPED,
            daemon=self.member.name,
            in_flight=self.caller_server.in_flight,
            took_s=round(boot_time() - started, 2),
        )

    def handle_targets_lost(self) -> None:
        """Drop what needs links to targets."""
        self.connection_pool.close()
        self.tasks.start_soon('yield-roles', self.elections.yield_roles)

    async def hand_over(self) -> None:
        """Drop all roles so that other gateways can claim them.

        While the store is unreachable no gateway could claim them, so
        ``drain`` then keeps them until its end.
        """
        self.coordination.leave()
        with anyio.move_on_after(SESSION_CLOSE_TIMEOUT_S):
            await self.session.close()


async def serve(
    settings: GatewaySettings, reload: Reload, platform: Platform
) -> None:
    """Run a gateway until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings
        Validated settings.
    reload
        Reads the settings again; returns None if they are invalid.
    platform
        Platform that the gateway runs on.
    """
    if settings.machine.memory_mb:
        map_large_buffers()
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled) as signals:
        asyncio.get_running_loop().set_exception_handler(_log_callback_fault)
        async with anyio.create_task_group() as tasks:
            gateway = Gateway(
                settings, reload, platform, SupervisedTasks(tasks)
            )
            gc.collect()
            gc.freeze()
            try:
                await gateway.serve(signals)
            except Exception as fault:
                log_fault('gateway', fault)
                raise
            tasks.cancel_scope.cancel()


def _log_callback_fault(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Log an exception that a callback of the event loop has raised."""
    fault = context.get('exception')
    if not isinstance(fault, BaseException):
        fault = RuntimeError(context.get('message', 'unknown'))
    log_fault('event-loop', fault)
