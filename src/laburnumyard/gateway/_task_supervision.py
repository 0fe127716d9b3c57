"""Confines the failures of background tasks to the task that failed.

A task group cancels all its tasks as soon as one of them raises, and the
process ends with it. Everything that runs in the group of the process is
therefore started through ``SupervisedTasks``.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint_if_cancelled

from laburnumyard.telemetry import METRICS, Event, log_event

# Pause before a failed task is restarted.
RESTART_PAUSE_S = 0.2

Work = Callable[..., Awaitable[object]]


class SupervisedTasks:
    """Background tasks that end alone when they fail.

    Parameters
    ----------
    group
        Task group that runs them.
    """

    def __init__(self, group: TaskGroup) -> None:
        """Create the object without tasks."""
        self.group = group

    def start_soon(self, name: str, work: Work, *args: object) -> None:
        """Run a task once; a failure is logged.

        Parameters
        ----------
        name
            Name of the task, for the log.
        work, args
            Asynchronous function and its arguments.
        """
        self.group.start_soon(confine, name, work, *args)

    def keep_running(self, name: str, work: Work) -> None:
        """Run a task, and restart it after each failure.

        Parameters
        ----------
        name
            Name of the task, for the log.
        work
            Returns when the task is complete.
        """
        self.group.start_soon(keep_running, name, work)


async def confine(name: str, work: Work, *args: object) -> bool:
    """Await a function, and log its failure instead of raising it.

    A cancellation of the enclosing scope is raised as usual.

    Parameters
    ----------
    name
        Name of the work, for the log.
    work, args
        Asynchronous function and its arguments.

    Returns
    -------
    bool
        Whether it returned.
    """
    try:
        await work(*args)
    except asyncio.CancelledError as cancelled:
        # Raises again, unless the cancellation was not meant for this task:
        # then it would cancel the whole group.
        await checkpoint_if_cancelled()
        log_fault(name, cancelled)
    except Exception as fault:
        log_fault(name, fault)
    else:
        return True
    return False


async def keep_running(name: str, work: Work) -> None:
    """Await a function, and again after each failure until it returns.

    Parameters
    ----------
    name
        Name of the work, for the log.
    work
        Returns when the task is complete.
    """
    is_complete = await confine(name, work)
    while not is_complete:
        await anyio.sleep(RESTART_PAUSE_S)
        is_complete = await confine(name, work)


@contextmanager
def confined(name: str, on_fault: Callable[[], None]) -> Iterator[None]:
    """Log an exception of the block instead of raising it.

    Parameters
    ----------
    name
        Name of the work, for the log.
    on_fault
        Called after an exception.
    """
    try:
        yield
    except Exception as fault:
        log_fault(name, fault)
        on_fault()


def log_fault(name: str, fault: BaseException) -> None:
    """Log and count an unexpected exception.

    Parameters
    ----------
    name
        Name of the work that raised it.
    fault
        The exception.
    """
    METRICS.count('faults_total', work=name)
    log_event(Event.FAULT, 'ERROR', work=name, fault=_describe(fault))


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
