"""The entry point of the program."""

import sys
from collections.abc import Sequence
from functools import partial
from typing import TextIO

from fire import core

from laburnumyard import __version__
from laburnumyard.cli._commands import Commands, quote_arguments
from laburnumyard.cli._environment import Environment
from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._orders import Request
from laburnumyard.cli._report import write_report
from laburnumyard.cli._run import run_order

_HELP_FLAGS = frozenset(('--help', '-h'))


def main() -> None:
    """Run the command of the command line and exit with its status."""
    sys.exit(run_command(sys.argv[1:], Environment()))


def run_command(arguments: Sequence[str], environment: Environment) -> int:
    """Run one command.

    Parameters
    ----------
    arguments
        The command line without the program's name.
    environment
        The surroundings.

    Returns
    -------
    int
        An ``ExitCode``.
    """
    if list(arguments) == ['--version']:
        sys.stdout.write(f'laburnumyard {__version__}\n')
        return ExitCode.OK
    wants_help = bool(_HELP_FLAGS.intersection(arguments))
    stream = sys.stdout if wants_help else sys.stderr
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
    report = run_order(request.order, environment)
    write_report(report, request.json)
    return report.code


def _print_nothing(request: object) -> None:
    """Keep fire from printing an order that is yet to be run."""


def _write_help(stream: TextIO, lines: Sequence[str], out: TextIO) -> None:
    """Write help without starting a pager, which is another process."""
    stream.write('\n'.join([*lines, '']))
