"""Structured logging and metrics."""

from laburnumyard.telemetry._log import (
    Event,
    configure_log,
    configure_stdout,
    log_decision,
    log_event,
)
from laburnumyard.telemetry._metrics import METRICS, Metrics

__all__ = (
    'METRICS',
    'Event',
    'Metrics',
    'configure_log',
    'configure_stdout',
    'log_decision',
    'log_event',
)
