"""The outcome of a command, for people and for programs."""

import json
import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from laburnumyard.cli._exit_codes import ExitCode


@dataclass(frozen=True, slots=True)
class Report:
    """What a command found or did.

    Parameters
    ----------
    code
        The exit status.
    lines
        The text for people.
    content
        The same as JSON for programs.
    """

    code: ExitCode
    lines: tuple[str, ...]
    content: Mapping[str, Any] = field(default_factory=dict)


def write_report(report: Report, as_json: bool) -> None:
    """Print a report: text of failures to stderr, all else to stdout.

    Parameters
    ----------
    report
        What to print.
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


def fail(code: ExitCode, detail: str) -> Report:
    """Return the report of a command that failed for one reason."""
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
        A line.
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
