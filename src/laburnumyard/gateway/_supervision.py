"""Keeps background work going through a fault of its own."""

from collections.abc import Awaitable, Callable

import anyio

from laburnumyard.telemetry import Event, log_event

# The pause before work that failed starts again, in seconds.
RESTART_PAUSE_S = 0.2


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run work, and start it again after each fault, with a log line.

    Parameters
    ----------
    name
        What is run, for the log.
    work
        Runs until it has nothing more to do.
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
    """Return a fault with where it was met, inner ones of a group first."""
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    place = ''
    trace = fault.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        place = f'{code.co_name}:{trace.tb_lineno}'
        trace = trace.tb_next
    return f'{type(fault).__name__}: {fault} in {place}'
