"""Errors of links between daemons."""

from dataclasses import dataclass
from enum import Enum


class LinkErrorKind(Enum):
    """Reasons why a link or a message fails."""

    EMPTY_FRAME = 'empty-frame'
    OVERSIZE_FRAME = 'oversize-frame'
    TRUNCATED_FRAME = 'truncated-frame'
    MALFORMED_MESSAGE = 'malformed-message'
    UNEXPECTED_MESSAGE = 'unexpected-message'
    WRONG_PEER = 'wrong-peer'
    CONNECT_FAILED = 'connect-failed'
    BACKING_OFF = 'backing-off'
    QUEUE_FULL = 'queue-full'
    TOO_MANY_LINKS = 'too-many-links'
    TIMEOUT = 'timeout'
    SILENT = 'silent'
    IDLE = 'idle'
    BROKEN = 'broken'
    CLOSED = 'closed'


@dataclass(frozen=True, slots=True)
class LinkError:
    """A message that was not sent or did not get its response.

    Parameters
    ----------
    kind
        Reason of the failure.
    detail
        The bad value and the remedy, in one sentence.
    may_have_been_sent
        Whether any byte of the message may have been sent. ``not-run`` may
        be reported to a caller only if this is False.
    """

    kind: LinkErrorKind
    detail: str = ''
    may_have_been_sent: bool = False
