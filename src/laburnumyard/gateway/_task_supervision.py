"""Restarts background tasks after unexpected errors."""

from collections.abc import Awaitable, Callable

import anyio

from laburnumyard.telemetry import Event, log_event

# Pause before a failed task is restarted.
RESTART_PAUSE_S = 0.2


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and log and restart it after each exception.

    Parameters
    ----------
    name
        Name of the task, for the log.
    work
        Returns when the task is complete.
    """
    while True:
        try:
            await work()
        except Exception as fault:
            log_event(Event.FAULT, 'ERROR', work=name, fault=_describe(fault))
        else:
            return
        await anyio.sleep(RESTART_PAUSE_S)


def _describe(fault: BaseException) -> str:
    """Return an exception with its location; a group by its first member."""
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    place = ''
    trace = fault.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        place = f'{code.co_name}:{trace.tb_lineno}'
        trace = trace.tb_next
    return f'{type(fault).__name__}: {fault} in {place}'
