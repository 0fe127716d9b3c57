"""Descriptions of error kinds."""

from collections.abc import Iterable

from laburnumyard.cli._exit_codes import ExitCode
from laburnumyard.cli._report import Report, failure_report
from laburnumyard.core.errors import ANSWERS, ErrorKind


def explain(name: str) -> Report:
    """Describe one error kind, or all.

    Parameters
    ----------
    name
        The error kind as written in responses; empty for all.

    Returns
    -------
    Report
        The descriptions.
    """
    names = {kind.value: kind for kind in ErrorKind}
    if name and name not in names:
        known = ', '.join(names)
        return failure_report(
            ExitCode.REFUSED,
            f'{name!r} is not an error kind; choose one of {known}',
        )
    kinds = [names[name]] if name else list(ErrorKind)
    return Report(
        ExitCode.OK,
        tuple(line for kind in kinds for line in _describe(kind)),
        {'kinds': [_to_json(kind) for kind in kinds]},
    )


def _describe(kind: ErrorKind) -> Iterable[str]:
    answer = ANSWERS[kind]
    retry = 'yes' if answer.may_retry else 'no'
    status = answer.status.value
    ran = answer.ran.value
    yield f'{kind.value}: {answer.meaning}'
    yield f'  status {status}, ran: {ran}, may be sent again as it is: {retry}'
    yield f'  {answer.remedy}'


def _to_json(kind: ErrorKind) -> dict[str, object]:
    answer = ANSWERS[kind]
    return {
        'kind': kind.value,
        'status': answer.status.value,
        'ran': answer.ran.value,
        'may_retry': answer.may_retry,
        'meaning': answer.meaning,
        'remedy': answer.remedy,
    }
