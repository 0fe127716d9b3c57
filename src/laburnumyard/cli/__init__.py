"""Command line interface for operators."""

from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._main import main, run_command

__all__ = ('ExitCode', 'main', 'run_command')
