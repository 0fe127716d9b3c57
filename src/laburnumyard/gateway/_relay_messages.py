"""Messages of requests that one gateway serves for another."""

from laburnumyard.core.ids import AttemptId, Seconds
from laburnumyard.gateway._http_messages import (
    CallerRequest,
    CallerResponse,
    RequestResult,
)
from laburnumyard.gateway._platform_interface import Headers
from laburnumyard.schema._generated import messages

MS_PER_SECOND = 1000
# Answer of a gateway that reaches no target either, or is about to stop.
TARGETS_LOST = 'targets-lost'


def encode_request(
    request: CallerRequest, attempt_id: AttemptId, deadline_s: Seconds
) -> messages.Submit:
    """Return a request of a caller as a message to a peer.

    Parameters
    ----------
    request, attempt_id
        The request and its identifier.
    deadline_s
        Time that the peer has to answer, in seconds; at least 1 ms is sent, as
        0 stands for no deadline.
    """
    return messages.Submit(
        number=0,
        request_id=attempt_id,
        service='',
        target='',
        customer='',
        key='',
        method=request.method,
        path=request.path,
        headers=_encode_headers(request.headers),
        body=bytes(request.body),
        deadline_ms=max(1, int(deadline_s * MS_PER_SECOND)),
        repeatable=False,
        ticket='',
        hops=1,
    )


def decode_request(
    message: messages.Submit, arrived_at: Seconds
) -> CallerRequest:
    """Return the caller's request in a message that arrived at some time."""
    headers = _decode_headers(message.headers)
    return CallerRequest(
        message.method,
        message.path,
        dict(headers).get('host', ''),
        headers,
        message.body,
        arrived_at,
    )


def deadline_of(message: messages.Submit) -> Seconds:
    """Return the time that is left for a request, in seconds."""
    return Seconds(message.deadline_ms / MS_PER_SECOND)


def encode_answer(number: int, result: RequestResult) -> messages.SubmitAnswer:
    """Return the result of a relayed request as a message."""
    response = result.response
    return messages.SubmitAnswer(
        number,
        result.reason,
        '',
        int(response.status),
        _encode_headers(response.headers),
        bytes(response.body),
    )


def refuse_relay(number: int) -> messages.SubmitAnswer:
    """Return the answer of a gateway that cannot serve for others."""
    return messages.SubmitAnswer(number, TARGETS_LOST, '', 0, (), b'')


def decode_answer(answer: messages.SubmitAnswer) -> RequestResult:
    """Return the result in an answer, which is not a refusal to relay."""
    response = CallerResponse(
        answer.status, _decode_headers(answer.headers), answer.body
    )
    return RequestResult(response, answer.kind)


def _encode_headers(headers: Headers) -> tuple[messages.Header, ...]:
    return tuple(messages.Header(name, text) for name, text in headers)


def _decode_headers(rows: tuple[messages.Header, ...]) -> Headers:
    return tuple((row.name, row.value) for row in rows)
