"""Store calls with a rate budget, deadlines, retries, outage detection."""

from collections.abc import Callable
from http import HTTPStatus

import anyio
from expression import Error, Result

from laburnumyard.clients._outage import OutageDetector
from laburnumyard.clients._store_errors import (
    budget_error,
    check_available,
    check_write,
    map_read_error,
    map_write_error,
)
from laburnumyard.clients._store_types import StoreError, StoreErrorKind
from laburnumyard.core.call_budget import CallBudget
from laburnumyard.schema._generated.settings import StoreSettings
from laburnumyard.transport._endpoint import (
    Endpoint,
    ExchangeResult,
    HttpRequest,
    HttpResponse,
)

FIRST_PAUSE_S = 0.05
SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
RETRYABLE_KINDS = frozenset(
    (StoreErrorKind.UNAVAILABLE, StoreErrorKind.TIMEOUT)
)

CallResult = Result[HttpResponse, StoreError]


class StoreCalls:
    """Makes calls within the rate budget and detects outages.

    Parameters
    ----------
    settings
        The address, deadlines and budget.
    clock
        Returns the current time, in seconds.
    random_fraction
        Returns a random number from 0 to 1, for the jitter of retries.
    """

    def __init__(
        self,
        settings: StoreSettings,
        clock: Callable[[], float],
        random_fraction: Callable[[], float],
    ) -> None:
        """Create the budget and endpoint without opening a connection."""
        now = clock()
        outage_after_s = settings.timeout_s * settings.attempts
        self.settings = settings
        self.clock = clock
        self.random_fraction = random_fraction
        self.endpoint = Endpoint(settings.address)
        self.budget = CallBudget(settings.calls_per_s, settings.call_burst, now)
        self.outage = OutageDetector(outage_after_s, now)

    async def fetch(
        self,
        request: HttpRequest,
        is_urgent: bool = True,
        wait_s: float = 0,
    ) -> CallResult:
        """Make a read-only call, with retries.

        Parameters
        ----------
        request
            The request to send.
        is_urgent
            Whether the call may spend the budget's reserve.
        wait_s
            How long the store may delay its response (long poll), in seconds.
        """
        answer = await self._call(request, is_urgent, wait_s)
        for retry in range(1, self.settings.attempts):
            if answer.is_ok() or answer.error.kind not in RETRYABLE_KINDS:
                return answer
            await anyio.sleep(FIRST_PAUSE_S * 2**retry * self.random_fraction())
            answer = await self._call(request, is_urgent, wait_s)
        return answer

    async def send_write(self, request: HttpRequest) -> CallResult:
        """Send a write once; without a response its outcome is unknown."""
        if not self.budget.take(self.clock()):
            return Error(budget_error())
        answer = await self._exchange(request, self.settings.timeout_s)
        return answer.map_error(map_write_error).bind(check_write)

    async def _call(
        self,
        request: HttpRequest,
        is_urgent: bool,
        wait_s: float,
    ) -> CallResult:
        if not self.budget.take(self.clock(), is_urgent=is_urgent):
            return Error(budget_error())
        timeout_s = self.settings.timeout_s + wait_s
        answer = await self._exchange(request, timeout_s)
        return answer.map_error(map_read_error).bind(check_available)

    async def _exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
    ) -> ExchangeResult:
        answer = await self.endpoint.exchange(request, timeout_s)
        if answer.is_ok() and answer.ok.status < SERVER_ERROR:
            self.outage.note_contact(self.clock())
        else:
            self.outage.note_failure()
        return answer
