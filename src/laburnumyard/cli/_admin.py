"""HTTP client of the admin API of a daemon."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import httpcore

from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._report import Report, failure_report, list_fields

# A response to a change may take long, as it can wait for requests in flight.
_CONNECT_TIMEOUT_S = 3.0
_ANSWER_TIMEOUT_S = 60.0
# Errors of an established connection: no response or an incomplete one.
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class AdminCall:
    """One call of the admin API.

    Parameters
    ----------
    address
        ``IP:PORT`` of the admin API.
    path
        The path of the call.
    query
        Query parameters of a read-only call.
    change
        JSON body of a call that makes a change; empty for read-only calls.
    option
        Option of the command line that gives the address.
    """

    address: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    change: Mapping[str, str] = field(default_factory=dict)
    option: str = '--admin'

    @property
    def url(self) -> str:
        """The URL of the call."""
        query = urlencode(self.query)
        suffix = f'?{query}' if query else ''
        return f'http://{self.address}{self.path}{suffix}'


async def call_admin(call: AdminCall, token: str) -> Report:
    """Make a call and report its response.

    Parameters
    ----------
    call
        The call to make.
    token
        The operator token; empty if there is none.

    Returns
    -------
    Report
        The response. A change without a response has an unknown outcome,
        unless no connection was made.
    """
    try:
        response = await _send(call, token)
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as fault:
        return failure_report(
            ExitCode.UNREACHABLE,
            f'cannot connect to {call.address} ({fault}); check {call.option}',
        )
    except _CONNECTION_ERRORS as fault:
        return _incomplete_response(call, type(fault).__name__)
    return _report_response(call, response)


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


def _incomplete_response(call: AdminCall, reason: str) -> Report:
    if call.change:
        return failure_report(
            ExitCode.UNKNOWN_OUTCOME,
            f'incomplete response from {call.address} ({reason}); check '
            '`laburnumyard status` before retrying',
        )
    detail = f'incomplete response from {call.address} ({reason}); try again'
    return failure_report(ExitCode.UNREACHABLE, detail)


def _report_response(call: AdminCall, response: httpcore.Response) -> Report:
    try:
        content = json.loads(response.content)
    except (ValueError, RecursionError):
        return _incomplete_response(call, 'not JSON')
    if not isinstance(content, dict):
        return _incomplete_response(call, 'not a JSON object')
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
    """Drop ``outcome``, which the report of the command sets itself."""
    return {name: found for name, found in content.items() if name != 'outcome'}
