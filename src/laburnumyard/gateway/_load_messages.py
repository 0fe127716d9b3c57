"""Run and load reports in messages between gateways."""

from types import MappingProxyType

from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.scheduling import Outcome, RunReport
from laburnumyard.gateway._limit_messages import (
    decode_statement,
    encode_statement,
)
from laburnumyard.schema._generated import messages

PERCENT = 100
OUTCOMES = MappingProxyType({outcome.value: outcome for outcome in Outcome})


def encode_done(number: int, report: RunReport) -> messages.Done:
    """Return the message about the end of a run."""
    done = messages.Done(
        number,
        report.outcome.value,
        report.payload_bytes,
        encode_statement(report.rate_limit),
        0,
        0,
        0,
        0,
    )
    load = report.load
    if load is None:
        return done
    return messages.Done(
        number,
        done.outcome,
        done.payload_bytes,
        done.rate_limit,
        load.running,
        load.waiting,
        load.slots,
        0 if load.slowdown is None else round(load.slowdown * PERCENT),
    )


def decode_done(message: messages.Done) -> RunReport:
    """Return the report of a message.

    Gateways of an earlier release send no load report: all its fields are 0.
    """
    load = None
    if message.load_slots:
        slowdown = message.load_slowdown / PERCENT
        load = LoadReport(
            message.load_running,
            message.load_waiting,
            message.load_slots,
            slowdown or None,
        )
    return RunReport(
        OUTCOMES.get(message.outcome, Outcome.CANCELLED),
        message.payload_bytes,
        decode_statement(message.rate_limit),
        load,
    )
