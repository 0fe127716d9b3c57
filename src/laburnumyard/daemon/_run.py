"""Runs a daemon from its start to its graceful shutdown."""

import gc
import signal
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup

from laburnumyard.daemon._admin import AdminApp
from laburnumyard.daemon._admin_handlers import make_handlers
from laburnumyard.daemon._caller_intake import make_intake
from laburnumyard.daemon._daemon import Daemon
from laburnumyard.daemon._graceful_shutdown import GracefulShutdown
from laburnumyard.daemon._http_server import HttpServer, make_server
from laburnumyard.intake import map_large_buffers
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.telemetry._log import Event, configure_log, log_event

SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully.

    A second signal ends it immediately, even with requests in flight.

    Parameters
    ----------
    settings
        Validated settings.
    """
    configure_log(settings.log)
    if settings.machine.memory_mb:
        map_large_buffers()
    # uvloop isn't used: it opens an io_uring even when that is switched off.
    anyio.run(serve, settings, backend='asyncio')


async def serve(settings: Settings) -> None:
    """Serve callers, peers and operators until the shutdown."""
    async with anyio.create_task_group() as tasks:
        daemon = Daemon(settings, tasks)
        admin = AdminApp(settings.admin, make_handlers(daemon))
        async with daemon.server, daemon.pool:
            caller_server = _start(daemon, tasks, admin)
            _freeze_startup_objects()
            log_event(
                Event.STARTED,
                daemon=daemon.view.name,
                incarnation=daemon.view.incarnation,
                data_centre=settings.daemon.data_centre,
                callers=settings.listen.callers,
            )
            with anyio.open_signal_receiver(*SIGNALS) as signals:
                await _wait_for_end(daemon, signals)
                await _leave(GracefulShutdown(daemon, caller_server), signals)
            tasks.cancel_scope.cancel()
    log_event(Event.STOPPED, daemon=settings.daemon.name)


def _start(daemon: Daemon, tasks: TaskGroup, admin: AdminApp) -> HttpServer:
    listen = daemon.settings.listen
    limits = daemon.settings.limits
    intake = make_intake(daemon.settings.machine, daemon.metrics.note_cut)
    daemon.metrics.held_bytes = intake.account.gauges
    caller_server = make_server(
        daemon.caller_app, listen.callers, limits, intake
    )
    admin_server = make_server(
        admin, listen.admin, limits, intake, intake.bounds.operators
    )
    for start in (
        caller_server.serve,
        admin_server.serve,
        daemon.caller_app.disconnect_watcher.run,
        daemon.members.run,
        daemon.documents.run,
        daemon.balance.run,
        daemon.ownership.run,
    ):
        tasks.start_soon(start)
    return caller_server


def _freeze_startup_objects() -> None:
    """Exclude long-lived startup objects from later garbage collections.

    A full collection blocks the event loop while it traverses all objects.
    """
    gc.collect()
    gc.freeze()


async def _wait_for_end(
    daemon: Daemon,
    signals: AsyncIterator[signal.Signals],
) -> None:
    """Wait for a signal, or for a newer process with this daemon's name."""
    async with anyio.create_task_group() as waiting:
        waiting.start_soon(_wait_for_signal, signals, waiting.cancel_scope)
        await daemon.members.superseded.wait()
        log_event(Event.STOPPING, 'ERROR', reason='superseded')
        waiting.cancel_scope.cancel()


async def _wait_for_signal(
    signals: AsyncIterator[signal.Signals],
    waiting: anyio.CancelScope,
) -> None:
    await anext(signals)
    waiting.cancel()


async def _leave(
    shutdown: GracefulShutdown,
    signals: AsyncIterator[signal.Signals],
) -> None:
    async with anyio.create_task_group() as leaving:
        leaving.start_soon(_wait_for_signal, signals, leaving.cancel_scope)
        await shutdown.run()
        leaving.cancel_scope.cancel()
