"""Flow control at the entry daemon: refusals are delayed, answers never.

The delay in proportion to the backlog follows Nadav Har'El, "As Fast as
Possible, But Not Faster: ScyllaDB Flow Control"; docs/design/flow_control.md
has the measurements and the parts that were left out.
"""

from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.ids import Seconds

DELAY_PER_WAITING_REQUEST_S = 0.001
MAX_DELAY_S = 0.1

# Errors that a caller with fixed concurrency would retry at once.
DELAYED_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.OVER_SHARE,
        ErrorKind.DEADLINE_TOO_SHORT,
    ),
)


def refusal_delay(
    kind: ErrorKind,
    backlog: int,
    remaining: Seconds,
) -> Seconds:
    """Return how long the entry daemon delays a refusal.

    Parameters
    ----------
    kind
        The error that the caller gets.
    backlog
        Number of requests of the customer in flight at this entry daemon.
    remaining
        Time until the deadline of the request, in seconds.

    Returns
    -------
    Seconds
        The delay, in seconds; 0 for errors that are not delayed.

    Examples
    --------
    >>> refusal_delay(ErrorKind.OVERLOADED, 20, 1.0)
    0.02
    >>> refusal_delay(ErrorKind.NO_OWNER, 20, 1.0)
    0
    """
    if kind not in DELAYED_KINDS:
        return Seconds(0)
    delay = min(backlog * DELAY_PER_WAITING_REQUEST_S, MAX_DELAY_S)
    return Seconds(max(min(delay, remaining), 0))
