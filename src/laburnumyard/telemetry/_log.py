"""Structured log: one line of key=value pairs per event."""

import asyncio
import os
import re
import sys
import time
from enum import Enum

from loguru import logger

from laburnumyard.schema._generated.settings import LogSettings

LINE_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={level} {message}'

MAX_BATCH_LINES = 256
FLUSH_INTERVAL_S = 0.05
MS_PER_SECOND = 1000
# Buffer for a slow reader: some seconds of lines at peak load, and small
# compared with the memory of a gateway.
MAX_PENDING_BYTES = 262_144
# Values that are written without quotes.
UNQUOTED = re.compile('[!#-<>-~]+')


class Event(Enum):
    """Names of all log events."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    ROUTED = 'routed'
    REFUSED = 'refused'
    RETRIED = 'retried'
    ADOPTED = 'adopted'
    STORE = 'store'
    MEMBER = 'member'
    PLACED = 'placed'
    QUARANTINED = 'quarantined'
    COORDINATOR = 'coordinator'
    TARGET = 'target'
    EVACUATION = 'evacuation'
    SHARDS = 'shards'
    ORDER = 'order'
    SENT = 'sent'
    ANSWERED = 'answered'
    CANCELLED = 'cancelled'
    SESSION = 'session'
    REACH = 'reach'
    RELAYED = 'relayed'
    RELOADED = 'reloaded'
    CUT = 'cut'
    LISTENER = 'listener'
    FAULT = 'fault'


def configure_log(settings: LogSettings) -> None:
    """Log to standard error at the configured level."""
    logger.remove()
    logger.add(
        sys.stderr,
        format=LINE_FORMAT,
        level=str(settings.level.value),
        backtrace=False,
        diagnose=False,
        catch=True,
    )


def configure_stdout(level: str) -> None:
    """Log to standard output without blocking.

    Parameters
    ----------
    level
        Lowest level that is written, a loguru level name.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    logger.remove()
    logger.add(
        STDOUT.write,
        format=LINE_FORMAT,
        level=level,
        backtrace=False,
        diagnose=False,
        catch=True,
    )


class NonBlockingOutput:
    """Writes lines to a file descriptor and drops those that exceed a buffer.

    Parameters
    ----------
    descriptor
        Non-blocking file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        """Create an output with an empty buffer."""
        self.descriptor = descriptor
        self.dropped = 0
        self.unwritten = b''

    def write(self, text: str) -> None:
        """Write lines, or drop and count them while the buffer is full."""
        lines = str(text).encode('utf-8', 'replace')
        if len(self.unwritten) > MAX_PENDING_BYTES:
            self.dropped += lines.count(b'\n')
            lines = b''
        elif self.dropped:
            notice = f'event=log-dropped lines={self.dropped}\n'
            lines = notice.encode() + lines
            self.dropped = 0
        pending = self.unwritten + lines
        try:
            written = os.write(self.descriptor, pending)
        except BlockingIOError:
            written = 0
        self.unwritten = pending[written:]


STDOUT = NonBlockingOutput(1)


def log_event(event: Event, level: str = 'INFO', **pairs: object) -> None:
    """Log an event.

    Parameters
    ----------
    event
        Event to log.
    level
        Level, a loguru level name.
    pairs
        Fields of the line; values with spaces are quoted.
    """
    DECISION_LOG.flush()
    fields = _fields(pairs)
    logger.opt(raw=False).log(level, 'event={} {}', event.value, fields)


def log_decision(event: Event, **pairs: object) -> None:
    """Log a decision about a request; lines are written in batches.

    Parameters
    ----------
    event
        Event to log.
    pairs
        Fields of the line; values with spaces are quoted.
    """
    line = f'level=INFO event={event.value} {_fields(pairs)}'
    DECISION_LOG.add(line, time.time())


class DecisionLog:
    """Batches lines before passing them to loguru.

    A loguru call costs far more than formatting a line. Lines wait for at most
    ``FLUSH_INTERVAL_S`` and are flushed before any later event; a process that
    is killed loses the waiting lines.
    """

    def __init__(self) -> None:
        """Create an empty batch."""
        self.max_lines = MAX_BATCH_LINES
        self.lines: list[str] = []
        self.second = 0
        self.timestamp = ''

    def add(self, line: str, now: float) -> None:
        """Add a line with its Unix time in seconds."""
        if not self.lines:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_INTERVAL_S, self.flush)
        second = int(now)
        if second != self.second:
            self.second = second
            moment = time.gmtime(second)
            self.timestamp = time.strftime('%Y-%m-%dT%H:%M:%S', moment)
        milliseconds = int((now - second) * MS_PER_SECOND)
        self.lines.append(f'{self.timestamp}.{milliseconds:03d}Z {line}\n')
        if len(self.lines) >= self.max_lines:
            self.flush()

    def flush(self) -> None:
        """Write and clear the batch."""
        if self.lines:
            joined = ''.join(self.lines)
            self.lines.clear()
            logger.opt(raw=True).info(joined)


DECISION_LOG = DecisionLog()


def _fields(pairs: dict[str, object]) -> str:
    texts = [
        str(part.value) if isinstance(part, Enum) else str(part)
        for part in pairs.values()
    ]
    # One match for all values, because few lines need quotes.
    if '' in texts or not UNQUOTED.fullmatch(''.join(texts)):
        texts = [_quote(text) for text in texts]
    return ' '.join(
        [f'{name}={text}' for name, text in zip(pairs, texts, strict=True)]
    )


def _quote(text: str) -> str:
    if UNQUOTED.fullmatch(text):
        return text
    escaped = text.encode('unicode_escape').decode().replace('"', r'\"')
    return f'"{escaped}"'
