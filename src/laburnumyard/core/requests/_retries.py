"""Retry policy of a daemon: retryable errors, budget and backoff."""

from laburnumyard.core.errors import ANSWERS, ErrorKind, Ran
from laburnumyard.core.ids import Seconds
from laburnumyard.schema._generated.objects import Service

# Retries that an idle service accumulates for a burst.
BURST_RETRIES = 10
# Limit on the sum of forwards between daemons and retries; the count travels
# with the request.
MAX_HOPS = 4
# A retry with less time left would only add load.
MIN_REMAINING_S = 0.005
FIRST_DELAY_S = 0.005
MAX_DELAY_S = 0.2

# Errors that a retry or another route may avoid. After a full queue or a missed
# deadline only the caller decides: a retry would add to the overload.
RETRIED_KINDS = frozenset(
    (
        ErrorKind.NO_OWNER,
        ErrorKind.NOT_OWNER,
        ErrorKind.TARGET_SHED,
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.TARGET_BROKE_OFF,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PEER_BROKE_OFF,
        ErrorKind.SHUTTING_DOWN,
    ),
)

# Errors of requests that never reached the target that owns their key.
NO_TARGET_LOAD_KINDS = frozenset(
    (ErrorKind.NO_OWNER, ErrorKind.NOT_OWNER, ErrorKind.PEER_UNREACHABLE),
)


class RetryBudget:
    """Retry budget of one service at one daemon, a share of its requests.

    Parameters
    ----------
    service
        The service; ``retry_share`` is the share.
    """

    def __init__(self, service: Service) -> None:
        """Start with a full budget."""
        self.retry_share = service.retry_share
        self.retries = BURST_RETRIES * self.retry_share and BURST_RETRIES

    def note_request(self) -> None:
        """Add the retry share of one first attempt to the budget."""
        self.retries = min(self.retries + self.retry_share, BURST_RETRIES)

    @property
    def has_retry(self) -> bool:
        """Whether the budget allows another retry."""
        return self.retries >= 1

    def spend(self) -> None:
        """Deduct one retry."""
        self.retries -= 1


def retry_loads_target(kind: ErrorKind) -> bool:
    """Return whether a retry after an error adds load to a target.

    A request that never found the owner of its key has not loaded a target.
    """
    return kind not in NO_TARGET_LOAD_KINDS


def may_retry(
    kind: ErrorKind,
    repeatable: bool,
    remaining: Seconds,
    hops: int,
    budget: RetryBudget,
) -> bool:
    """Return whether a failed request may be retried.

    The daemon that retries it deducts from the budget and increments the hops.

    Parameters
    ----------
    kind
        The error of the last attempt.
    repeatable
        Whether the request may run more than once.
    remaining
        Time until its deadline, in seconds.
    hops
        How often it was forwarded or retried.
    budget
        The retry budget of its service.

    Returns
    -------
    bool
        True only if the request is repeatable or did not run.
    """
    if kind not in RETRIED_KINDS or hops >= MAX_HOPS:
        return False
    if remaining < MIN_REMAINING_S:
        return False
    if retry_loads_target(kind) and not budget.has_retry:
        return False
    return repeatable or ANSWERS[kind].ran is Ran.NOT_RUN


def retry_delay(tries: int, draw: float) -> Seconds:
    """Return the delay before a retry: exponential backoff, full jitter.

    Parameters
    ----------
    tries
        Number of failed attempts, at least 1.
    draw
        A random number from 0 to 1.

    Returns
    -------
    Seconds
        The delay, in seconds.
    """
    max_delay = min(FIRST_DELAY_S * 2 ** (tries - 1), MAX_DELAY_S)
    return Seconds(max_delay * draw)
