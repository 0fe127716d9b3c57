"""Starts a gateway, serves until it is told to stop, and drains it."""

import gc
import signal
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clocks import boot_time, new_incarnation
from laburnumyard.core.ids import DaemonName, DataCentre
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._callers import CallerServer
from laburnumyard.gateway._coordination import Coordination
from laburnumyard.gateway._elections import Elections
from laburnumyard.gateway._exchange import CallerAnswer, CallerRequest
from laburnumyard.gateway._follower import Follower
from laburnumyard.gateway._peers import PeerReader
from laburnumyard.gateway._ports import Platform
from laburnumyard.gateway._requests import Requests
from laburnumyard.gateway._session import Session
from laburnumyard.gateway._slots import Slots
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._supervision import keep_running
from laburnumyard.gateway._target_pool import TargetPool
from laburnumyard.gateway._tuning import LINK_SETTINGS, tune
from laburnumyard.gateway._view import Member, View
from laburnumyard.schema._generated import messages
from laburnumyard.schema._generated.gateway import GatewaySettings
from laburnumyard.telemetry import METRICS, Event, log_event
from laburnumyard.wire import Connection, LinkPool, LinkServer

Reload = Callable[[], GatewaySettings | None]

# How often the settings are read, in seconds; they may change without a
# signal.
RELOAD_INTERVAL_S = 2.0
# The balancer takes a gateway out after two checks, one a second; until then
# it still sends new connections.
NOTICE_S = 2.6
# Kept of the grace for the end of the process, in seconds.
END_RESERVE_S = 0.5
# The longest wait for the store to end the session, in seconds.
HAND_OVER_S = 0.5


class Gateway:
    """One gateway.

    Parameters
    ----------
    settings
        Checked settings.
    reload
        Reads the settings anew; None where they cannot be read.
    platform
        The platform that it runs on.
    tasks
        Where it runs.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reload: Reload,
        platform: Platform,
        tasks: TaskGroup,
    ) -> None:
        """Put the parts together."""
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
        self.view = View()
        self.health = StoreHealth()
        self.session = Session(
            platform.store, self.health, settings.store, self.member
        )
        tuning = tune(settings.bounds)
        self.links = LinkPool(hello, LINK_SETTINGS)
        self.coordination = Coordination(
            platform, self.view, self.session, tuning, self.links, tasks
        )
        self.elections = Elections(
            platform.store, self.view, self.session, self.coordination, tasks
        )
        self.follower = Follower(
            platform, self.view, self.health, self.coordination.has_roles
        )
        self.links.on_lost.append(self.elections.suspect)
        self.reader = PeerReader(
            self.follower,
            self.health,
            self.view,
            self.links,
            self.member,
            settings.machine.peers,
        )
        self.peers = LinkServer(
            settings.listen.peers,
            hello,
            self.take,
            settings=LINK_SETTINGS,
        )
        self.slots = Slots(
            self.follower,
            self.view,
            self.elections,
            self.links,
            tuning,
        )
        self.pool = TargetPool()
        self.requests = Requests(
            platform.dialect,
            self.view,
            self.slots,
            self.pool,
            DataCentre(daemon.data_centre),
        )
        self.callers = CallerServer(self.requests.serve, self.limits, tasks)
        self.checks = CallerServer(self.check, CallerLimits, tasks)
        self.is_leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        has_targets = bool(self.view.directory)
        has_routes = self.view.routes is not None
        return has_routes and has_targets and not self.is_leaving

    def take(self, link: Connection, message: messages.Message) -> None:
        """Take a message of another gateway."""
        if isinstance(message, messages.FetchItems):
            cache = self.follower.cache
            fresh = self.follower.targets_known_to
            link.send(cache.encode(message.number, message.after, fresh))
        else:
            self.coordination.take(message, link)

    def limits(self) -> CallerLimits:
        """Return the bounds on callers in force."""
        table = self.view.routes
        return table.limits if table else CallerLimits()

    async def report(self, request: CallerRequest) -> CallerAnswer:
        """Answer a scraper of metrics."""
        headers = (('content-type', 'text/plain; charset=utf-8'),)
        content = METRICS.render().encode()
        return CallerAnswer(HTTPStatus.OK, headers, content)

    async def listen(self) -> None:
        """Accept connections; the metrics page is no reason not to start."""
        listen = self.settings.listen
        await self.checks.listen(listen.readiness)
        await self.callers.listen(listen.callers)
        if listen.metrics_port:
            host, _, _ = listen.callers.rpartition(':')
            page = CallerServer(self.report, CallerLimits, self.tasks)
            try:
                await page.listen(f'{host}:{listen.metrics_port}')
            except OSError as fault:
                log_event(
                    Event.FAULT, 'ERROR', work='metrics', fault=repr(fault)
                )

    async def check(self, request: CallerRequest) -> CallerAnswer:
        """Answer a readiness check."""
        if self.is_ready:
            return CallerAnswer(HTTPStatus.OK)
        return CallerAnswer(HTTPStatus.SERVICE_UNAVAILABLE)

    async def serve(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Serve until told to stop, then drain."""
        async with self.peers, self.links:
            await self.listen()
            self.follower.start(self.tasks)
            for start in (
                self.session.run,
                self.coordination.run,
                self.elections.run,
                self.slots.tick,
                self.reader.run,
                self.watch_settings,
            ):
                self.tasks.start_soon(keep_running, start.__qualname__, start)
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
        """Wait for a signal that ends the process."""
        async for received in signals:
            if received is not signal.SIGHUP:
                return
            self.take_settings(self.reload(), 'SIGHUP')

    async def watch_settings(self) -> None:
        """Take settings that change without a signal, for ever."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.take_settings(self.reload(), 'interval')

    def take_settings(
        self, settings: GatewaySettings | None, cause: str
    ) -> None:
        """Adopt changed settings; addresses of our own stay as they are."""
        if settings is None or settings == self.settings:
            return
        self.settings = settings
        self.reader.addresses = tuple(settings.machine.peers)
        self.coordination.tuning = tune(settings.bounds)
        log_event(
            Event.RELOADED,
            cause=cause,
            peers=len(settings.machine.peers),
        )

    async def drain(self) -> None:
        """Hand over the roles, and end what is in flight whole."""
        started = boot_time()
        self.is_leaving = True
        log_event(
            Event.STOPPING,
            daemon=self.member.name,
            in_flight=self.callers.in_flight,
            roles=len(self.coordination.roles),
        )
        self.callers.announce_leaving()
        if self.health.is_reached:
            await self.hand_over()
        end = started + self.settings.bounds.grace_s - END_RESERVE_S
        await anyio.sleep(started + NOTICE_S - boot_time())
        self.callers.close_idle()
        with anyio.move_on_after(max(0, end - boot_time())):
            await self.callers.idle.wait()
        if self.coordination.roles:
            await self.hand_over()
        log_event(
            Event.STOPPED,
            daemon=self.member.name,
            in_flight=self.callers.in_flight,
            took_s=round(boot_time() - started, 2),
        )

    async def hand_over(self) -> None:
        """Leave the roles to other gateways.

        While the store is away nobody could take them, so they are kept until
        the end.
        """
        self.coordination.leave()
        with anyio.move_on_after(HAND_OVER_S):
            await self.session.close()


async def serve(
    settings: GatewaySettings, reload: Reload, platform: Platform
) -> None:
    """Run a gateway until SIGTERM or SIGINT, then have it drain.

    Parameters
    ----------
    settings
        Checked settings.
    reload
        Reads the settings anew; None where they cannot be read.
    platform
        The platform that it runs on.
    """
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled) as signals:
        async with anyio.create_task_group() as tasks:
            gateway = Gateway(settings, reload, platform, tasks)
            gc.collect()
            gc.freeze()
            await gateway.serve(signals)
            tasks.cancel_scope.cancel()
