"""The daemon: runs the core's state machines on anyio and executes effects."""

from laburnumyard.daemon._run import run

__all__ = ('run',)
