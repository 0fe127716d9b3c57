"""Entry point of the command line."""

import sys
from collections.abc import Sequence
from functools import partial
from typing import TextIO

from fire import core

from laburnumyard import __version__
from laburnumyard.cli._command_types import Request
from laburnumyard.cli._commands import Commands, quote_arguments
from laburnumyard.cli._environment import Environment
from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._report import write_report
from laburnumyard.cli._run import execute_command

_HELP_FLAGS = frozenset(('--help', '-h'))


def main() -> None:
    """Run the command given in ``sys.argv`` and exit with its code."""
    sys.exit(run_command(sys.argv[1:], Environment()))


def run_command(arguments: Sequence[str], environment: Environment) -> int:
    """Run one command.

    Parameters
    ----------
    arguments
        The command line without the program's name.
    environment
        Dependencies of the command.

    Returns
    -------
    int
        An ``ExitCode``.
    """
    if list(arguments) == ['--version']:
        sys.stdout.write(f'laburnumyard {__version__}\n')
        return ExitCode.OK
    is_help_requested = bool(_HELP_FLAGS.intersection(arguments))
    stream = sys.stdout if is_help_requested else sys.stderr
    core.Display = partial(_write_help, stream)
    try:
        request = core.Fire(
            Commands(environment.variables),
            command=list(quote_arguments(arguments)),
            name='laburnumyard',
            serialize=_print_nothing,
        )
    except core.FireExit as refusal:
        return int(refusal.code)
    if not isinstance(request, Request):
        sys.stderr.write('name a command; see laburnumyard --help\n')
        return ExitCode.USAGE
    report = execute_command(request.command, environment)
    write_report(report, request.json)
    return report.code


def _print_nothing(request: object) -> None:
    """Suppress the output of fire, as the command is not executed yet."""


def _write_help(stream: TextIO, lines: Sequence[str], out: TextIO) -> None:
    """Write help without a pager, which would start another process."""
    stream.write('\n'.join([*lines, '']))
