"""Starts a daemon, serves until it is told to leave, and drains it."""

import gc
import signal

import anyio
from anyio.abc import TaskGroup

from laburnumyard.core import membership
from laburnumyard.daemon._admin import AdminApp
from laburnumyard.daemon._http_server import HttpServer, make_server
from laburnumyard.daemon._log import Event, configure_log, log_event
from laburnumyard.daemon._node import Node
from laburnumyard.daemon._operations import make_handlers
from laburnumyard.schema._generated.settings import Settings

POLL_INTERVAL_S = 0.02
# What the last heartbeats and answers need to leave after a drain.
PARTING_S = 0.1


def run(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it.

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
            await _wait_for_end(node)
            await _drain(node, entry_server)
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


async def _wait_for_end(node: Node) -> None:
    """Wait for a signal, or for a newer process under this daemon's name."""
    async with anyio.create_task_group() as waiting:
        waiting.start_soon(_wait_for_signal, waiting.cancel_scope)
        await node.members.superseded.wait()
        log_event(Event.STOPPING, 'ERROR', reason='superseded')
        waiting.cancel_scope.cancel()


async def _wait_for_signal(waiting: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(aiter(signals))
    waiting.cancel()


async def _drain(node: Node, entry_server: HttpServer) -> None:
    """Hand roles over, finish what is in flight, and leave.

    New requests are refused as ``not-run`` while the balancer has not yet
    seen that the daemon is no longer ready.
    """
    log_event(Event.STOPPING, daemon=node.view.name)
    node.view.is_draining = True
    node.office.ledger.drain()
    node.members.feed(membership.Leave())
    node.ownership.leave()
    timeout = node.settings.timing.drain_timeout_s
    with anyio.move_on_after(timeout):
        await _wait_idle(node, entry_server)
    entry_server.should_exit = True
    await anyio.sleep(PARTING_S)


async def _wait_idle(node: Node, entry_server: HttpServer) -> None:
    # The state machines have no common event of rest.
    while not (_is_idle(node) and entry_server.is_flushed):  # noqa: ASYNC110
        await anyio.sleep(POLL_INTERVAL_S)


def _is_idle(node: Node) -> bool:
    return (
        node.entry.in_flight == 0
        and node.targets.is_idle
        and node.ownership.is_handed_over
        and node.office.ledger.running == 0
    )
