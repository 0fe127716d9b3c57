"""What a sender reports about the run of a request."""

from dataclasses import dataclass

from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import UNKNOWN_LIMIT, LimitStatement
from laburnumyard.core.scheduling._work import Outcome


@dataclass(frozen=True, slots=True)
class RunReport:
    """How the run of a request ended, and what its response says.

    Parameters
    ----------
    outcome
        The outcome of the run.
    payload_bytes
        Size of the request and its response; 0 without a response.
    rate_limit
        What the response says about the rate limit of the target.
    load
        What it says about the load of the target; None if nothing.
    """

    outcome: Outcome
    payload_bytes: int = 0
    rate_limit: LimitStatement = UNKNOWN_LIMIT
    load: LoadReport | None = None
