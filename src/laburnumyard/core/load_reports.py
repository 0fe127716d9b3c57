"""Load that targets report in their responses."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What one response of a target says about its load.

    Parameters
    ----------
    running, waiting
        Requests that it runs and that wait there.
    slots
        Requests that it runs at once at most.
    slowdown
        How long work takes there now, relative to the usual time; None if the
        target does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
