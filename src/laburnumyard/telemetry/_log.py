"""One line of key=value pairs for each event."""

import asyncio
import os
import re
import sys
import time
from enum import Enum

from loguru import logger

from laburnumyard.schema._generated.settings import LogSettings

LINE = '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={level} {message}'

LONGEST_BATCH = 256
FLUSH_INTERVAL_S = 0.05
MS_PER_SECOND = 1000
# Lines kept for a reader that is slow, in bytes: some seconds of lines at the
# crest, and little beside the memory of a gateway.
MOST_PENDING_BYTES = 262_144
# Values that need no quotes.
PLAIN = re.compile('[!#-<>-~]+')


class Event(Enum):
    """Every event that the daemon logs."""

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
    SHARDS = 'shards'
    ORDER = 'order'
    SENT = 'sent'
    ANSWERED = 'answered'
    CANCELLED = 'cancelled'
    SESSION = 'session'
    RELOADED = 'reloaded'
    FAULT = 'fault'


def configure_log(settings: LogSettings) -> None:
    """Send log lines to standard error at the level of the settings."""
    logger.remove()
    logger.add(
        sys.stderr,
        format=LINE,
        level=str(settings.level.value),
        backtrace=False,
        diagnose=False,
        catch=True,
    )


def configure_stdout(level: str) -> None:
    """Send log lines to standard output, without ever waiting for it.

    Parameters
    ----------
    level
        The least severity that is written.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    logger.remove()
    logger.add(
        STDOUT.write,
        format=LINE,
        level=level,
        backtrace=False,
        diagnose=False,
        catch=True,
    )


class NonBlockingOutput:
    """Writes lines to a descriptor; those that would block are dropped.

    Parameters
    ----------
    descriptor
        A descriptor that does not block.
    """

    def __init__(self, descriptor: int) -> None:
        """Start with nothing dropped."""
        self.descriptor = descriptor
        self.dropped = 0
        self.rest = b''

    def write(self, text: str) -> None:
        """Write some lines, or drop them and count."""
        lines = str(text).encode('utf-8', 'replace')
        if len(self.rest) > MOST_PENDING_BYTES:
            self.dropped += lines.count(b'\n')
            lines = b''
        elif self.dropped:
            notice = f'event=log-dropped lines={self.dropped}\n'
            lines = notice.encode() + lines
            self.dropped = 0
        pending = self.rest + lines
        try:
            written = os.write(self.descriptor, pending)
        except BlockingIOError:
            written = 0
        self.rest = pending[written:]


STDOUT = NonBlockingOutput(1)


def log_event(event: Event, level: str = 'INFO', **pairs: object) -> None:
    """Write one line.

    Parameters
    ----------
    event
        What happened.
    level
        The severity, a name that loguru knows.
    pairs
        What it happened to; values with spaces are quoted.
    """
    DECISIONS.flush()
    fields = _fields(pairs)
    logger.opt(raw=False).log(level, 'event={} {}', event.value, fields)


def log_decision(event: Event, **pairs: object) -> None:
    """Write one line soon, as cheaply as each request needs it.

    Parameters
    ----------
    event
        What was decided.
    pairs
        What about; values with spaces are quoted.
    """
    line = f'level=INFO event={event.value} {_fields(pairs)}'
    DECISIONS.add(line, time.time())


class DecisionLog:
    """Gathers lines and gives them to loguru together.

    A call of loguru costs far more than the line. Lines wait for
    ``FLUSH_INTERVAL_S`` at most, and never behind a later event; a daemon
    that is killed loses those that wait.
    """

    def __init__(self) -> None:
        """Start with no line."""
        self.longest = LONGEST_BATCH
        self.lines: list[str] = []
        self.second = 0
        self.stamp = ''

    def add(self, line: str, now: float) -> None:
        """Take one line, decided at a time since the epoch."""
        if not self.lines:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_INTERVAL_S, self.flush)
        second = int(now)
        if second != self.second:
            self.second = second
            moment = time.gmtime(second)
            self.stamp = time.strftime('%Y-%m-%dT%H:%M:%S', moment)
        milliseconds = int((now - second) * MS_PER_SECOND)
        self.lines.append(f'{self.stamp}.{milliseconds:03d}Z {line}\n')
        if len(self.lines) >= self.longest:
            self.flush()

    def flush(self) -> None:
        """Write the lines."""
        if self.lines:
            joined = ''.join(self.lines)
            self.lines.clear()
            logger.opt(raw=True).info(joined)


DECISIONS = DecisionLog()


def _fields(pairs: dict[str, object]) -> str:
    texts = [
        str(part.value) if isinstance(part, Enum) else str(part)
        for part in pairs.values()
    ]
    # One look at all of them: most lines have nothing to quote.
    if '' in texts or not PLAIN.fullmatch(''.join(texts)):
        texts = [_quote(text) for text in texts]
    return ' '.join(
        [f'{name}={text}' for name, text in zip(pairs, texts, strict=True)]
    )


def _quote(text: str) -> str:
    if PLAIN.fullmatch(text):
        return text
    escaped = text.encode('unicode_escape').decode().replace('"', r'\"')
    return f'"{escaped}"'
