"""Executes each command."""

from dataclasses import replace
from functools import singledispatch

import anyio

from laburnumyard.cli import _command_types as command_types
from laburnumyard.cli._admin import AdminCall, call_admin
from laburnumyard.cli._environment import TOKEN_VARIABLE, Environment
from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._explain import explain
from laburnumyard.cli._local import check_files, run_daemon
from laburnumyard.cli._publication import (
    compare_files,
    list_history,
    publish_files,
)
from laburnumyard.cli._report import Report
from laburnumyard.core.explanation_text import render_explanation


@singledispatch
def execute_command(command: object, environment: Environment) -> Report:
    """Execute a command.

    Parameters
    ----------
    command
        An instance of a class of ``laburnumyard.cli._command_types``.
    environment
        Dependencies of the command.

    Returns
    -------
    Report
        The result of the command.

    Raises
    ------
    TypeError
        If the command type is not registered.
    """
    kind = type(command).__name__
    raise TypeError(
        f'{kind} is not a command; register it with execute_command'
    )


@execute_command.register
def _run_daemon(
    command: command_types.Daemon, environment: Environment
) -> Report:
    return run_daemon(command.settings)


@execute_command.register
def _check(command: command_types.Check, environment: Environment) -> Report:
    return check_files(command.files)


@execute_command.register
def _explain(
    command: command_types.Explain, environment: Environment
) -> Report:
    return explain(command.kind)


@execute_command.register
def _explain_request(
    command: command_types.ExplainRequest, environment: Environment
) -> Report:
    query = {'host': command.host, 'path': command.path, 'format': 'json'}
    if command.key:
        query['key'] = command.key
    call = AdminCall(
        command.gateway, '/explain', query=query, option='--gateway'
    )
    report = anyio.run(call_admin, call, '')
    if report.code is not ExitCode.OK:
        return report
    return replace(report, lines=tuple(render_explanation(report.content)))


@execute_command.register
def _diff(command: command_types.Diff, environment: Environment) -> Report:
    return anyio.run(compare_files, command, environment)


@execute_command.register
def _publish(
    command: command_types.Publish, environment: Environment
) -> Report:
    return anyio.run(publish_files, command, environment)


@execute_command.register
def _history(
    command: command_types.History, environment: Environment
) -> Report:
    return anyio.run(list_history, command, environment)


@execute_command.register
def _status(command: command_types.Status, environment: Environment) -> Report:
    return _call(environment, AdminCall(command.admin, '/status'))


@execute_command.register
def _owner(command: command_types.Owner, environment: Environment) -> Report:
    query = {'service': command.service, 'key': command.key}
    return _call(environment, AdminCall(command.admin, '/owner', query=query))


@execute_command.register
def _move(command: command_types.Move, environment: Environment) -> Report:
    change = {
        'service': command.service,
        'key': command.key,
        'target': command.target,
    }
    return _call(environment, AdminCall(command.admin, '/move', change=change))


@execute_command.register
def _drain(command: command_types.Drain, environment: Environment) -> Report:
    path = '/drain' if command.draining else '/undrain'
    change = {'target': command.target}
    return _call(environment, AdminCall(command.admin, path, change=change))


def _call(environment: Environment, call: AdminCall) -> Report:
    token = environment.variables.get(TOKEN_VARIABLE, '')
    return anyio.run(call_admin, call, token)
