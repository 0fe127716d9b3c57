"""Parsing and validation of the settings of a daemon."""

from collections.abc import Callable, Iterator, Mapping
from functools import partial
from itertools import chain, combinations
from typing import Any

from expression import Error, Result

from laburnumyard.core.addresses import conflicts, find_address_remedy
from laburnumyard.core.file_problems import (
    Problem,
    check_model,
    read_toml,
    show_value,
)
from laburnumyard.core.machine_variables import (
    NO_VARIABLES,
    add_machine_variables,
)
from laburnumyard.schema._generated.settings import (
    LimitSettings,
    ListenSettings,
    Settings,
    TimingSettings,
)

# A grant must survive the loss of this many consecutive renewals.
RENEWALS_IN_LIFE = 3
# A member is not suspected for the loss of a single heartbeat.
HEARTBEATS_BEFORE_SUSPECT = 2

Report = Callable[..., Problem]


def load_settings(
    text: str,
    source: str,
    environment: Mapping[str, str] = NO_VARIABLES,
) -> Result[Settings, tuple[Problem, ...]]:
    """Read the settings of a daemon.

    Parameters
    ----------
    text
        The TOML document.
    source
        The name of its file, for problems.
    environment
        Environment variables; see ``core.machine_variables``.

    Returns
    -------
    Result
        The settings, or all problems found.

    Examples
    --------
    >>> load_settings('[daemon]', 'daemon.toml').is_error()
    True
    """
    match read_toml(text, source):
        case Result(tag='ok', ok=document):
            add_machine_variables(document, environment)
            return _check_document(document, source)
        case Result(error=problem):
            return Error((problem,))


def _check_document(
    document: dict[str, Any],
    source: str,
) -> Result[Settings, tuple[Problem, ...]]:
    checked = check_model(document, source, Settings)
    if checked.is_error():
        return checked
    problems = tuple(find_contradictions(checked.ok, source))
    return Error(problems) if problems else checked


def find_contradictions(settings: Settings, source: str) -> Iterator[Problem]:
    """Yield a problem for each pair of contradictory settings.

    Parameters
    ----------
    settings
        Settings whose fields are individually valid.
    source
        The name of their file.

    Yields
    ------
    Problem
        The contradiction and its remedy.
    """
    report = partial(Problem, source)
    yield from _timing_problems(settings.timing, report)
    yield from _drain_problems(settings, report)
    yield from _limit_problems(settings.limits, report)
    yield from _malformed_addresses(settings, report)
    yield from _conflicting_addresses(settings.listen, report)


def _timing_problems(
    timing: TimingSettings, report: Report
) -> Iterator[Problem]:
    at = partial(report, '[timing]')
    longest_interval = round(timing.grant_life_s / RENEWALS_IN_LIFE, 3)
    if timing.renew_interval_s > longest_interval:
        yield at(
            'renew_interval_s',
            show_value(timing.renew_interval_s),
            f'give at most {longest_interval} seconds, a third of '
            f'grant_life_s = {timing.grant_life_s}',
        )
    least_silence = timing.heartbeat_interval_s * HEARTBEATS_BEFORE_SUSPECT
    if timing.suspect_after_s < least_silence:
        yield at(
            'suspect_after_s',
            show_value(timing.suspect_after_s),
            f'give at least {least_silence} seconds, twice '
            f'heartbeat_interval_s = {timing.heartbeat_interval_s}',
        )
    if timing.suspect_after_s >= timing.grant_life_s:
        yield at(
            'suspect_after_s',
            show_value(timing.suspect_after_s),
            'give less than grant_life_s = '
            f'{timing.grant_life_s}, or grants expire before a takeover',
        )
    if timing.outage_hold_s < timing.grant_life_s:
        yield at(
            'outage_hold_s',
            show_value(timing.outage_hold_s),
            f'give at least grant_life_s = {timing.grant_life_s}',
        )


def _drain_problems(settings: Settings, report: Report) -> Iterator[Problem]:
    longest = settings.limits.deadline_max_s
    timeout = settings.timing.drain_timeout_s
    if timeout < longest:
        yield report(
            '[timing]',
            'drain_timeout_s',
            show_value(timeout),
            f'give at least deadline_max_s = {longest}, or a shutdown aborts '
            'requests in flight',
        )


def _limit_problems(limits: LimitSettings, report: Report) -> Iterator[Problem]:
    at = partial(report, '[limits]')
    if limits.deadline_default_s > limits.deadline_max_s:
        yield at(
            'deadline_default_s',
            show_value(limits.deadline_default_s),
            f'give at most deadline_max_s = {limits.deadline_max_s}',
        )
    if limits.ticket_life_s < limits.deadline_max_s:
        yield at(
            'ticket_life_s',
            show_value(limits.ticket_life_s),
            f'give at least deadline_max_s = {limits.deadline_max_s}, or '
            'tickets expire before their requests',
        )
    if limits.ticket_answer_bytes < limits.body_bytes:
        yield at(
            'ticket_answer_bytes',
            show_value(limits.ticket_answer_bytes),
            f'give at least body_bytes = {limits.body_bytes}, or an answer '
            'cannot be stored',
        )


def _malformed_addresses(
    settings: Settings,
    report: Report,
) -> Iterator[Problem]:
    addresses = chain(
        (('[listen]', *pair) for pair in _listen_addresses(settings.listen)),
        (('[store]', 'address', settings.store.address),),
    )
    for table, field, address in addresses:
        remedy = find_address_remedy(address)
        if remedy:
            yield report(table, field, show_value(address), remedy)


def _conflicting_addresses(
    listen: ListenSettings,
    report: Report,
) -> Iterator[Problem]:
    pairs = combinations(_listen_addresses(listen), 2)
    for (first, address), (second, other) in pairs:
        if conflicts(address, other):
            yield report(
                '[listen]',
                second,
                show_value(other),
                f'give another port; {first} listens there',
            )


def _listen_addresses(listen: ListenSettings) -> Iterator[tuple[str, str]]:
    for field in ListenSettings.model_fields:
        yield field, getattr(listen, field)
