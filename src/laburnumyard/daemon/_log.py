"""One line of key=value pairs for each event."""

import sys
from enum import Enum

from loguru import logger

from laburnumyard.schema._generated.settings import LogSettings

LINE = '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={level} {message}'


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
    GRANT = 'grant'
    TAKEN_OVER = 'taken-over'
    QUARANTINED = 'quarantined'
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
    fields = ' '.join(f'{name}={_quote(pairs[name])}' for name in pairs)
    logger.opt(raw=False).log(level, 'event={} {}', event.value, fields)


def _quote(part: object) -> str:
    text = str(part.value) if isinstance(part, Enum) else str(part)
    if text and text.isprintable() and not set(text) & set(' "='):
        return text
    escaped = text.encode('unicode_escape').decode().replace('"', r'\"')
    return f'"{escaped}"'
