"""Links between daemons and the codec of their messages.

A daemon enters one `LinkServer` and one `LinkPool`. The server passes every
message of another daemon to ``on_message(link, message)``. The handler responds
by ``link.send(answer)`` with the number of the request, immediately or later;
``link.remote`` identifies the requester, and a callback in ``link.on_closed``
reports its disconnection. The pool sends messages by ``send`` and requests by
``request``; it numbers requests itself and sends a `Cancel` for a `Submit` that
was sent and then abandoned by its caller.
"""

from laburnumyard.wire._connection import Connection
from laburnumyard.wire._errors import LinkError, LinkErrorKind
from laburnumyard.wire._framing import FrameError, FrameReader, encode_frame
from laburnumyard.wire._outgoing import UNNAMED_PREFIX, ResponseResult
from laburnumyard.wire._pool import LinkPool, Peer
from laburnumyard.wire._server import IncomingLink, LinkServer
from laburnumyard.wire._settings import DEFAULT_LINK_SETTINGS, LinkSettings

__all__ = (
    'DEFAULT_LINK_SETTINGS',
    'UNNAMED_PREFIX',
    'Connection',
    'FrameError',
    'FrameReader',
    'IncomingLink',
    'LinkError',
    'LinkErrorKind',
    'LinkPool',
    'LinkServer',
    'LinkSettings',
    'Peer',
    'ResponseResult',
    'encode_frame',
)
