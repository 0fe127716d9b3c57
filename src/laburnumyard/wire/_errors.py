"""What can go wrong on a link, as one closed list of kinds."""

from dataclasses import dataclass
from enum import Enum


class LinkErrorKind(Enum):
    """Every kind of error that a link can report."""

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
    """Why a message was not sent, or why its answer did not come.

    Parameters
    ----------
    kind
        The kind of the error.
    detail
        The bad value and the remedy, in one sentence.
    may_have_left
        Whether any byte of the message may have left this process. Only
        where it is False may a caller be told ``not-run``.
    """

    kind: LinkErrorKind
    detail: str = ''
    may_have_left: bool = False
