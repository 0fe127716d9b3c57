"""Commands that compare, publish and list configurations."""

from collections.abc import Iterable, Mapping
from dataclasses import asdict
from types import MappingProxyType
from typing import Any

from expression import Error, Ok, Result

from laburnumyard.cli import _command_types as command_types
from laburnumyard.cli._environment import Environment
from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._files import read_files
from laburnumyard.cli._local import list_problems
from laburnumyard.cli._report import Report, failure_report
from laburnumyard.clients.publication import (
    Conflict,
    Proposal,
    PublishError,
    PublishErrorKind,
    publish,
    read_current,
    read_history,
)
from laburnumyard.core.configuration import (
    Change,
    Configuration,
    ConfigurationHead,
    difference,
    parse_objects,
)

_EXIT_CODES = MappingProxyType(
    {
        PublishErrorKind.CONFLICT: ExitCode.CONFLICT,
        PublishErrorKind.REFUSED: ExitCode.REFUSED,
        PublishErrorKind.UNREACHABLE: ExitCode.UNREACHABLE,
        PublishErrorKind.OUTCOME_UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
        PublishErrorKind.MALFORMED: ExitCode.REFUSED,
    }
)


async def compare_files(
    command: command_types.Diff,
    environment: Environment,
) -> Report:
    """Compare files with the current configuration."""
    files = _parse_files(command.files)
    if files.is_error():
        return files.error
    async with environment.open_store(command.store) as store:
        answer = await read_current(store)
    if answer.is_error():
        return _explain_failure(answer.error)
    current = answer.ok
    version = current.head.version if current else 0
    changes = difference(current and current.configuration, files.ok)
    title = f'changes to version {version}: {len(changes)}'
    return Report(
        ExitCode.OK,
        (title, *_indent(changes)),
        {'base': version, 'changes': _to_json(changes)},
    )


async def publish_files(
    command: command_types.Publish,
    environment: Environment,
) -> Report:
    """Validate files and publish them."""
    files = _parse_files(command.files)
    if files.is_error():
        return files.error
    proposal = Proposal(
        files.ok,
        command.base,
        change_id=environment.new_change_id(),
        author=command.author,
        time=environment.read_time(),
        note=command.note,
    )
    async with environment.open_store(command.store) as store:
        answer = await publish(store, proposal)
    if answer.is_error():
        return _explain_failure(answer.error)
    head, changes = answer.ok.head, answer.ok.changes
    title = f'published version {head.version} as change {head.change_id}'
    return Report(
        ExitCode.OK,
        (title, *_indent(changes)),
        {**_describe(head), 'changes': _to_json(changes)},
    )


async def list_history(
    command: command_types.History,
    environment: Environment,
) -> Report:
    """List publications, newest first."""
    async with environment.open_store(command.store) as store:
        answer = await read_history(store, command.limit)
    if answer.is_error():
        return _explain_failure(answer.error)
    return Report(
        ExitCode.OK,
        tuple(map(_show_head, answer.ok)) or ('nothing was published yet',),
        {'publications': list(map(_describe, answer.ok))},
    )


def _parse_files(names: Iterable[str]) -> Result[Configuration, Report]:
    files = read_files(names)
    if files.is_error():
        return Error(list_problems(files.error, ExitCode.REFUSED))
    parsed = parse_objects(files.ok)
    if parsed.is_error():
        return Error(list_problems(parsed.error, ExitCode.REFUSED))
    return Ok(parsed.ok)


def _explain_failure(failure: PublishError) -> Report:
    code = _EXIT_CODES[failure.kind]
    if failure.conflict is None:
        return failure_report(code, failure.detail)
    return _show_conflict(code, failure.detail, failure.conflict)


def _show_conflict(code: ExitCode, detail: str, conflict: Conflict) -> Report:
    newest, author = conflict.current.version, conflict.current.author
    lines = (
        detail,
        'your changes:',
        *_indent(conflict.ours),
        f'earlier changes by {author} and others:',
        *_indent(conflict.theirs),
        f'merge both into your files, then publish with --base={newest}',
    )
    content = {
        'detail': detail,
        'current': _describe(conflict.current),
        'ours': _to_json(conflict.ours),
        'theirs': _to_json(conflict.theirs),
    }
    return Report(code, lines, content)


def _indent(changes: Iterable[Change]) -> Iterable[str]:
    return (f'  {change}' for change in changes)


def _to_json(changes: Iterable[Change]) -> list[dict[str, str]]:
    return [
        {**asdict(change), 'action': change.action.value} for change in changes
    ]


def _describe(head: ConfigurationHead) -> Mapping[str, Any]:
    described = asdict(head)
    described.pop('files')
    return described


def _show_head(head: ConfigurationHead) -> str:
    texts = (head.time, head.author, head.change_id, head.note)
    line = '  '.join(map(_printable, texts))
    return f'{head.version:>6}  {line}'


def _printable(text: str) -> str:
    """Escape text with control characters, unsafe on a terminal."""
    return text if text.isprintable() else repr(text)
