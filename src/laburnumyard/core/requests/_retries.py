"""Whether a daemon may send a request once more."""

from laburnumyard.core.errors import ANSWERS, ErrorKind, Ran
from laburnumyard.core.ids import Seconds
from laburnumyard.schema._generated.objects import Service

# Retries that a quiet service may make at once.
BURST_RETRIES = 10
# Passes from daemon to daemon and tries, in one count that travels along.
HOPS_LIMIT = 4
# A retry with less time left would only add load.
LEAST_REMAINING_S = 0.005
FIRST_DELAY_S = 0.005
LONGEST_DELAY_S = 0.2

# Errors that another try, or another way, may avoid. A full queue and a
# deadline are the caller's to weigh: a retry would add to the overload.
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

# Errors of requests that have not been sent to the target that owns their key.
UNLOADING_KINDS = frozenset(
    (ErrorKind.NO_OWNER, ErrorKind.NOT_OWNER, ErrorKind.PEER_UNREACHABLE),
)


class RetryBudget:
    """The retries of one service at one daemon: a share of its requests.

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
        """Earn a part of a retry with each first try."""
        self.retries = min(self.retries + self.retry_share, BURST_RETRIES)

    @property
    def has_retry(self) -> bool:
        """Whether a whole retry is left."""
        return self.retries >= 1

    def spend(self) -> None:
        """Take one retry."""
        self.retries -= 1


def costs_budget(kind: ErrorKind) -> bool:
    """Tell whether a retry after an error adds load to a target.

    A request that was only looking for its owner has cost no target work.
    """
    return kind not in UNLOADING_KINDS


def may_retry(
    kind: ErrorKind,
    repeatable: bool,
    remaining: Seconds,
    hops: int,
    budget: RetryBudget,
) -> bool:
    """Tell whether a failed request may be sent once more.

    Whoever sends it again spends from the budget and adds one to the hops.

    Parameters
    ----------
    kind
        What the last try ended with.
    repeatable
        Whether the request may run twice.
    remaining
        What is left until its deadline, in seconds.
    hops
        How often it was passed on or tried again.
    budget
        The budget of its service.

    Returns
    -------
    bool
        True where nothing can run that must not.
    """
    if kind not in RETRIED_KINDS or hops >= HOPS_LIMIT:
        return False
    if remaining < LEAST_REMAINING_S:
        return False
    if costs_budget(kind) and not budget.has_retry:
        return False
    return repeatable or ANSWERS[kind].ran is Ran.NOT_RUN


def retry_delay(tries: int, draw: float) -> Seconds:
    """Give the pause before a retry: exponential, with full jitter.

    Parameters
    ----------
    tries
        How many tries have failed, at least 1.
    draw
        A random number from 0 to 1.

    Returns
    -------
    Seconds
        The pause.
    """
    longest = min(FIRST_DELAY_S * 2 ** (tries - 1), LONGEST_DELAY_S)
    return Seconds(longest * draw)
