"""Maps responses and failed exchanges to errors of the store client."""

from http import HTTPStatus
from types import MappingProxyType

from expression import Error, Ok, Result

from laburnumyard.clients._store_types import StoreError, StoreErrorKind
from laburnumyard.transport._endpoint import (
    ExchangeError,
    ExchangeFault,
    HttpResponse,
)

SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
CONFLICT_STATUSES = frozenset(
    (HTTPStatus.PRECONDITION_FAILED, HTTPStatus.NOT_FOUND),
)

FAULT_KINDS = MappingProxyType(
    {
        ExchangeFault.UNREACHABLE: StoreErrorKind.UNAVAILABLE,
        ExchangeFault.BROKE_OFF: StoreErrorKind.UNAVAILABLE,
        ExchangeFault.TIMEOUT: StoreErrorKind.TIMEOUT,
        ExchangeFault.MALFORMED: StoreErrorKind.MALFORMED,
        ExchangeFault.TOO_LARGE: StoreErrorKind.MALFORMED,
    }
)


def map_read_error(error: ExchangeError) -> StoreError:
    """Return the store error for a failed exchange."""
    return StoreError(FAULT_KINDS[error.fault], error.detail)


def malformed(detail: str) -> StoreError:
    """Return the error for a malformed response."""
    return StoreError(StoreErrorKind.MALFORMED, detail)


def status_error(answer: HttpResponse) -> StoreError:
    """Return the error for an unexpected HTTP status."""
    kind = StoreErrorKind.MALFORMED
    if answer.status >= SERVER_ERROR:
        kind = StoreErrorKind.UNAVAILABLE
    if answer.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        kind = StoreErrorKind.TOO_LARGE
    return StoreError(kind, f'the store answered {answer.status}')


def budget_error() -> StoreError:
    """Return the error for a call that exceeds the rate budget."""
    return StoreError(
        StoreErrorKind.OVER_BUDGET,
        'call budget exhausted; raise store.calls_per_s or call less often',
    )


def map_write_error(error: ExchangeError) -> StoreError:
    """Return the store error for a write without a response."""
    if error.has_left:
        return StoreError(StoreErrorKind.OUTCOME_UNKNOWN, error.detail)
    return map_read_error(error)


def check_available(answer: HttpResponse) -> Result[HttpResponse, StoreError]:
    """Return an error if the response is a server error (5xx)."""
    if answer.status >= SERVER_ERROR:
        return Error(status_error(answer))
    return Ok(answer)


def check_write(answer: HttpResponse) -> Result[HttpResponse, StoreError]:
    """Return an error unless the response confirms the write."""
    if answer.status == HTTPStatus.OK:
        return Ok(answer)
    if answer.status in CONFLICT_STATUSES:
        return Error(StoreError(StoreErrorKind.CONFLICT, 'the key changed'))
    if answer.status >= SERVER_ERROR:
        detail = f'the store answered {answer.status}'
        return Error(StoreError(StoreErrorKind.OUTCOME_UNKNOWN, detail))
    return Error(status_error(answer))
