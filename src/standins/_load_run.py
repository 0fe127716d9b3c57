"""Run a callers' load and report what was seen."""

import time

import anyio

from standins._load_caller import Caller, Pace
from standins._load_report import ClassReport, LoadReport
from standins._load_settings import CallerClass, LoadSettings


async def run_load(settings: LoadSettings) -> LoadReport:
    """Send a whole load.

    Parameters
    ----------
    settings
        What to send and where to.

    Returns
    -------
    LoadReport
        Counts and latencies by class.
    """
    report = LoadReport()
    async with anyio.create_task_group() as tasks:
        for callers in settings.classes:
            report.classes[callers.name] = ClassReport()
            tasks.start_soon(_run_class, settings, callers, report)
    return report


async def _run_class(
    settings: LoadSettings,
    callers: CallerClass,
    report: LoadReport,
) -> None:
    await anyio.sleep(callers.start_s)
    start_s = time.monotonic()
    pace = Pace(callers, start_s)
    async with anyio.create_task_group() as tasks:
        for number in range(callers.connections):
            caller = Caller(settings, callers, number, pace, report)
            tasks.start_soon(caller.run)
    report.classes[callers.name].elapsed_s = time.monotonic() - start_s
