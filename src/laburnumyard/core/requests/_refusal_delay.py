"""Flow control at the entry: refusals are slowed down, answers never.

The delay in proportion to the backlog follows Nadav Har'El, "As Fast as
Possible, But Not Faster: ScyllaDB Flow Control"; docs/design/flow_control.md
says what was measured and what was left out.
"""

from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.ids import Seconds

DELAY_PER_REQUEST_S = 0.001
LONGEST_DELAY_S = 0.1

# Refusals that a caller of fixed concurrency would repeat at once.
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
    """Give for how long the entry holds a refusal back.

    Parameters
    ----------
    kind
        What the caller is told.
    backlog
        How many requests of the customer this entry holds.
    remaining
        What is left until the request's deadline, in seconds.

    Returns
    -------
    Seconds
        0 for every other kind.

    Examples
    --------
    >>> refusal_delay(ErrorKind.OVERLOADED, 20, 1.0)
    0.02
    >>> refusal_delay(ErrorKind.NO_OWNER, 20, 1.0)
    0
    """
    if kind not in DELAYED_KINDS:
        return Seconds(0)
    delay = min(backlog * DELAY_PER_REQUEST_S, LONGEST_DELAY_S)
    return Seconds(max(min(delay, remaining), 0))
