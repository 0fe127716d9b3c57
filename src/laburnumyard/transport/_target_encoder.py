"""Encoding of HTTP requests to targets."""

import re

from laburnumyard.transport._json_fields import shorten
from laburnumyard.transport._target_exchange import HOP_BY_HOP, TargetRequest

LINE_END = '\r\n'
TOKEN_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
PATH_PATTERN = re.compile('/[!-~]*')
VALUE_PATTERN = re.compile('[\t -~\x80-\xff]*')


def encode_head(request: TargetRequest, host: str) -> bytes:
    """Return the head of a request as HTTP/1.1 bytes.

    Parameters
    ----------
    request
        Request whose head is encoded; its body is sent as it is.
    host
        Value of the ``host`` header.

    Raises
    ------
    ValueError
        If the method, path or a header has characters that HTTP forbids.
    """
    _check(TOKEN_PATTERN, request.method)
    _check(PATH_PATTERN, request.path)
    lines = [f'{request.method} {request.path} HTTP/1.1', f'host: {host}']
    for name, text in request.headers:
        _check(TOKEN_PATTERN, name)
        _check(VALUE_PATTERN, text)
        if name.lower() not in HOP_BY_HOP:
            lines.append(f'{name}: {text}')
    lines.append(f'content-length: {len(request.body)}')
    lines.append(LINE_END)
    return LINE_END.join(lines).encode('latin-1')


def _check(pattern: re.Pattern[str], text: str) -> None:
    if not pattern.fullmatch(text):
        shown = shorten(text)
        raise ValueError(
            f'{shown} has characters that are not allowed in an HTTP head'
        )
