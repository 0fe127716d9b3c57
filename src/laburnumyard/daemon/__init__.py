"""The anyio shell that feeds events to the core and runs its effects."""

from laburnumyard.daemon._run import run

__all__ = ('run',)
