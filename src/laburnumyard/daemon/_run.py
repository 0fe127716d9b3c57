"""Starts a daemon, serves until it is told to leave, and drains it."""

import gc
import signal
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup

from laburnumyard.daemon._admin import AdminApp
from laburnumyard.daemon._admin_handlers import make_handlers
from laburnumyard.daemon._daemon import Node
from laburnumyard.daemon._graceful_shutdown import Departure
from laburnumyard.daemon._http_server import HttpServer, make_server
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.telemetry._log import Event, configure_log, log_event

SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then have it leave.

    A second signal ends it at once, whatever is in flight.

    Parameters
    ----------
    settings
        Checked settings.
    """
    configure_log(settings.log)
    # Not uvloop: it opens an io_uring, whatever its switch says.
    anyio.run(serve, settings, backend='asyncio')


async def serve(settings: Settings) -> None:
    """Serve callers, peers and operators until told to leave."""
    async with anyio.create_task_group() as tasks:
        node = Node(settings, tasks)
        admin = AdminApp(settings.admin, make_handlers(node))
        async with node.server, node.pool:
            entry_server = _start(node, tasks, admin)
            _freeze_start()
            log_event(
                Event.STARTED,
                daemon=node.view.name,
                incarnation=node.view.incarnation,
                data_centre=settings.daemon.data_centre,
                callers=settings.listen.callers,
            )
            with anyio.open_signal_receiver(*SIGNALS) as signals:
                await _wait_for_end(node, signals)
                await _leave(Departure(node, entry_server), signals)
            tasks.cancel_scope.cancel()
    log_event(Event.STOPPED, daemon=settings.daemon.name)


def _start(node: Node, tasks: TaskGroup, admin: AdminApp) -> HttpServer:
    listen = node.settings.listen
    limits = node.settings.limits
    entry_server = make_server(node.entry, listen.callers, limits)
    admin_server = make_server(admin, listen.admin, limits)
    for start in (
        entry_server.serve,
        admin_server.serve,
        node.entry.watch.run,
        node.members.run,
        node.documents.run,
        node.balance.run,
        node.ownership.run,
    ):
        tasks.start_soon(start)
    return entry_server


def _freeze_start() -> None:
    """Keep what lives as long as the daemon out of every later collection.

    A full collection stops the loop for as long as it looks at all objects.
    """
    gc.collect()
    gc.freeze()


async def _wait_for_end(
    node: Node,
    signals: AsyncIterator[signal.Signals],
) -> None:
    """Wait for a signal, or for a newer process under this daemon's name."""
    async with anyio.create_task_group() as waiting:
        waiting.start_soon(_wait_for_signal, signals, waiting.cancel_scope)
        await node.members.superseded.wait()
        log_event(Event.STOPPING, 'ERROR', reason='superseded')
        waiting.cancel_scope.cancel()


async def _wait_for_signal(
    signals: AsyncIterator[signal.Signals],
    waiting: anyio.CancelScope,
) -> None:
    await anext(signals)
    waiting.cancel()


async def _leave(
    departure: Departure,
    signals: AsyncIterator[signal.Signals],
) -> None:
    async with anyio.create_task_group() as leaving:
        leaving.start_soon(_wait_for_signal, signals, leaving.cancel_scope)
        await departure.run()
        leaving.cancel_scope.cancel()
