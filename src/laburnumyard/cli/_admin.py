"""Calls to the admin address of a daemon."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import httpcore

from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._report import Report, fail, list_fields

# The longest wait for a connection, and for the answer to a change, which
# may have to wait for requests in flight.
_CONNECT_TIMEOUT_S = 3.0
_ANSWER_TIMEOUT_S = 60.0
# No answer, or a part of one, came over an open connection.
_BREAKS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class AdminCall:
    """One call to a daemon.

    Parameters
    ----------
    address
        The admin address.
    path
        The path of the call.
    query
        The query of a call that only reads.
    change
        The body of a call that changes something.
    """

    address: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    change: Mapping[str, str] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """The whole address of the call."""
        query = urlencode(self.query)
        suffix = f'?{query}' if query else ''
        return f'http://{self.address}{self.path}{suffix}'


async def call_admin(call: AdminCall, token: str) -> Report:
    """Make a call and report its answer.

    Parameters
    ----------
    call
        What to ask for.
    token
        The operators' token; empty where there is none.

    Returns
    -------
    Report
        The answer. A change whose answer did not arrive has an unknown
        outcome, unless no connection was made.
    """
    try:
        response = await _send(call, token)
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as fault:
        return fail(
            ExitCode.UNREACHABLE,
            f'no daemon answers at {call.address} ({fault}); check --admin',
        )
    except _BREAKS as fault:
        return _broken_off(call, type(fault).__name__)
    return _read_answer(call, response)


async def _send(call: AdminCall, token: str) -> httpcore.Response:
    headers = {'content-type': 'application/json'}
    if token:
        headers['authorization'] = f'Bearer {token}'
    timeout = {
        'connect': _CONNECT_TIMEOUT_S,
        'write': _CONNECT_TIMEOUT_S,
        'read': _ANSWER_TIMEOUT_S,
    }
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            'POST' if call.change else 'GET',
            call.url,
            headers=headers,
            content=_encode(call.change),
            extensions={'timeout': timeout},
        )


def _encode(change: Mapping[str, str]) -> bytes:
    return json.dumps(dict(change)).encode() if change else b''


def _broken_off(call: AdminCall, reason: str) -> Report:
    if call.change:
        return fail(
            ExitCode.UNKNOWN_OUTCOME,
            f'no whole answer from {call.address} ({reason}); look at '
            '`laburnumyard status` before ordering again',
        )
    detail = f'no whole answer from {call.address} ({reason}); try again'
    return fail(ExitCode.UNREACHABLE, detail)


def _read_answer(call: AdminCall, response: httpcore.Response) -> Report:
    try:
        content = json.loads(response.content)
    except (ValueError, RecursionError):
        return _broken_off(call, 'no JSON')
    if not isinstance(content, dict):
        return _broken_off(call, 'no JSON object')
    code = _exit_code(call, response.status)
    lines = tuple(list_fields(content))
    return Report(code, lines, _without_outcome(content))


def _exit_code(call: AdminCall, status: int) -> ExitCode:
    if status < HTTPStatus.BAD_REQUEST:
        return ExitCode.OK
    if status == HTTPStatus.CONFLICT:
        return ExitCode.CONFLICT
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return ExitCode.REFUSED
    if status == HTTPStatus.SERVICE_UNAVAILABLE or not call.change:
        return ExitCode.UNREACHABLE
    return ExitCode.UNKNOWN_OUTCOME


def _without_outcome(content: Mapping[str, Any]) -> Mapping[str, Any]:
    """Leave the name ``outcome`` to the command's own."""
    return {name: found for name, found in content.items() if name != 'outcome'}
