"""How each order is carried out."""

from functools import singledispatch

import anyio

from laburnumyard.cli import _orders as orders
from laburnumyard.cli._admin import AdminCall, call_admin
from laburnumyard.cli._environment import TOKEN_VARIABLE, Environment
from laburnumyard.cli._explain import explain
from laburnumyard.cli._local import check_files, run_daemon
from laburnumyard.cli._publication import (
    compare_files,
    list_history,
    publish_files,
)
from laburnumyard.cli._report import Report


@singledispatch
def run_order(order: object, environment: Environment) -> Report:
    """Carry out an order.

    Parameters
    ----------
    order
        One of ``laburnumyard.cli._orders``.
    environment
        The surroundings.

    Returns
    -------
    Report
        What was found or done.

    Raises
    ------
    TypeError
        If there is no such order.
    """
    kind = type(order).__name__
    raise TypeError(f'{kind} is no order; register it with run_order')


@run_order.register
def _run_daemon(order: orders.Daemon, environment: Environment) -> Report:
    return run_daemon(order.settings)


@run_order.register
def _check(order: orders.Check, environment: Environment) -> Report:
    return check_files(order.files)


@run_order.register
def _explain(order: orders.Explain, environment: Environment) -> Report:
    return explain(order.kind)


@run_order.register
def _diff(order: orders.Diff, environment: Environment) -> Report:
    return anyio.run(compare_files, order, environment)


@run_order.register
def _publish(order: orders.Publish, environment: Environment) -> Report:
    return anyio.run(publish_files, order, environment)


@run_order.register
def _history(order: orders.History, environment: Environment) -> Report:
    return anyio.run(list_history, order, environment)


@run_order.register
def _status(order: orders.Status, environment: Environment) -> Report:
    return _call(environment, AdminCall(order.admin, '/status'))


@run_order.register
def _owner(order: orders.Owner, environment: Environment) -> Report:
    query = {'service': order.service, 'key': order.key}
    return _call(environment, AdminCall(order.admin, '/owner', query=query))


@run_order.register
def _move(order: orders.Move, environment: Environment) -> Report:
    change = {
        'service': order.service,
        'key': order.key,
        'target': order.target,
    }
    return _call(environment, AdminCall(order.admin, '/move', change=change))


@run_order.register
def _drain(order: orders.Drain, environment: Environment) -> Report:
    path = '/drain' if order.draining else '/undrain'
    change = {'target': order.target}
    return _call(environment, AdminCall(order.admin, path, change=change))


def _call(environment: Environment, call: AdminCall) -> Report:
    token = environment.variables.get(TOKEN_VARIABLE, '')
    return anyio.run(call_admin, call, token)
