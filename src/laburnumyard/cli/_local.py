"""Commands that use neither the store nor another daemon."""

import importlib
import os
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import asdict

from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._files import read_files
from laburnumyard.cli._report import Report
from laburnumyard.core.configuration import Problem, parse_objects
from laburnumyard.core.settings import load_settings

_DAEMON_PACKAGE = 'laburnumyard.daemon'


def run_daemon(path: str) -> Report:
    """Run the daemon until it stops.

    Parameters
    ----------
    path
        Path of the settings file.

    Returns
    -------
    Report
        Problems of the settings, or an empty report after a graceful stop.
    """
    files = read_files((path,))
    if files.is_error():
        return list_problems(files.error, ExitCode.USAGE)
    if not files.ok:
        return Report(
            ExitCode.USAGE, (f'{path}: contains no TOML settings file',)
        )
    source, text = next(iter(files.ok.items()))
    settings = load_settings(text, source, os.environ)
    if settings.is_error():
        return list_problems(settings.error, ExitCode.USAGE)
    # Imported lazily: other commands start faster without its dependencies.
    daemon = importlib.import_module(_DAEMON_PACKAGE)
    daemon.run(settings.ok)
    return Report(ExitCode.OK, ())


def check_files(names: Iterable[str]) -> Report:
    """Validate settings and objects.

    Parameters
    ----------
    names
        Paths of files and directories.

    Returns
    -------
    Report
        All problems, or the number of valid files.
    """
    files = read_files(names)
    if files.is_error():
        return list_problems(files.error, ExitCode.REFUSED)
    problems = _find_problems(files.ok)
    if problems:
        return list_problems(problems, ExitCode.REFUSED)
    count = len(files.ok)
    line = f'{count} files are valid'
    return Report(ExitCode.OK, (line,), {'files': list(files.ok)})


def list_problems(problems: Iterable[Problem], code: ExitCode) -> Report:
    """Return the report that lists problems.

    Parameters
    ----------
    problems
        The problems found.
    code
        The exit code.

    Returns
    -------
    Report
        One line for each problem.
    """
    found = tuple(problems)
    return Report(
        code,
        tuple(map(str, found)),
        {'problems': [asdict(problem) for problem in found]},
    )


def _find_problems(files: Mapping[str, str]) -> tuple[Problem, ...]:
    objects: dict[str, str] = {}
    problems: list[Problem] = []
    for name, text in files.items():
        if _holds_settings(text):
            problems.extend(load_settings(text, name).swap().default_value(()))
        else:
            objects[name] = text
    if objects or not files:
        problems.extend(parse_objects(objects).swap().default_value(()))
    return tuple(problems)


def _holds_settings(text: str) -> bool:
    try:
        return 'daemon' in tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError):
        return False
