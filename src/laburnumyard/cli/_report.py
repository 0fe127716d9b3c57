"""Reports of commands, as text or JSON."""

import json
import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from laburnumyard.cli._exit_codes import ExitCode


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    Parameters
    ----------
    code
        The exit status.
    lines
        Human-readable text.
    content
        The same result as a JSON object.
    """

    code: ExitCode
    lines: tuple[str, ...]
    content: Mapping[str, Any] = field(default_factory=dict)


def write_report(report: Report, as_json: bool) -> None:
    """Print a report; failures as text go to stderr, all else to stdout.

    Parameters
    ----------
    report
        The report to print.
    as_json
        Whether to print one JSON document to stdout instead.
    """
    if as_json:
        outcome = {'outcome': report.code.name.lower(), **report.content}
        text = json.dumps(outcome, indent=2, ensure_ascii=False)
        sys.stdout.write(f'{text}\n')
        return
    stream = sys.stderr if report.code else sys.stdout
    stream.writelines(f'{line}\n' for line in report.lines)


def failure_report(code: ExitCode, detail: str) -> Report:
    """Return a report of a failed command with a single reason."""
    return Report(code, (detail,), {'detail': detail})


def list_fields(content: Mapping[str, Any]) -> Iterable[str]:
    """Yield one ``name: value`` line for each field, nested ones indented.

    Parameters
    ----------
    content
        A JSON object.

    Yields
    ------
    str
        One line of text.
    """
    for name, found in content.items():
        yield from _list_field(name, found)


def _list_field(name: str, found: Any) -> Iterable[str]:
    if isinstance(found, dict) and found:
        yield f'{name}:'
        yield from (f'  {line}' for line in list_fields(found))
    elif isinstance(found, list) and found:
        yield f'{name}:'
        yield from (f'  - {_show_item(item)}' for item in found)
    else:
        yield f'{name}: {_show(found)}'


def _show_item(item: Any) -> str:
    if isinstance(item, dict):
        return ', '.join(
            f'{name}={_show(found)}' for name, found in item.items()
        )
    return _show(item)


def _show(found: Any) -> str:
    return found if isinstance(found, str) else json.dumps(found)
