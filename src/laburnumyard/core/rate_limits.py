"""Request rates to which targets in trouble limit their callers.

A target states its limit in its responses, for the fleet as a whole, and lifts
it by responding without one.
"""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import Seconds
from laburnumyard.core.target_directory import TargetLife

# A limit that no response has repeated for this long no longer holds. A target
# that gets no requests cannot lift it.
LIMIT_EXPIRY_S = 10.0
# A limited target gets this many requests per second at least: only its
# responses tell when the limit ends.
MIN_PER_SECOND = 0.25
# A cold target may get requests from its coordinator, from an earlier one that
# lost the store, and from gateways that reach neither. Those that may not be
# alone send this part of the rate together.
UNCOORDINATED_PART = 0.25
# A request may reach a cold target up to this long after its slot was granted,
# so that the requests of one second come from the grants of this much more.
COLD_GRANT_LIFE_S = 0.4
# Length of a gateway's turn to send one request without a coordinator.
TURN_S = 0.1
# Limits to remember; the one that was stated longest ago is forgotten first.
MAX_KNOWN_LIMITS = 1000


class LimitKind(Enum):
    """What a response says about a rate limit."""

    # Without a usable response, what was stated before still holds.
    UNKNOWN = 'unknown'
    NONE = 'none'
    STATED = 'stated'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one response of a target says about its rate limit.

    Parameters
    ----------
    kind
        Kind of the statement.
    per_second
        Requests per second from the whole fleet; only for ``STATED``.
    text
        The raw value; only for ``MALFORMED``.
    """

    kind: LimitKind
    per_second: float = 0
    text: str = ''

    @property
    def is_usable(self) -> bool:
        """Whether it tells if the target limits its callers now."""
        return self.kind in {LimitKind.NONE, LimitKind.STATED}


UNKNOWN_LIMIT = LimitStatement(LimitKind.UNKNOWN)
NO_LIMIT = LimitStatement(LimitKind.NONE)


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A limit in force.

    Parameters
    ----------
    per_second
        Requests per second from the whole fleet.
    stated_at
        When it was last stated, in seconds.
    """

    per_second: float
    stated_at: Seconds

    @property
    def allowed_per_second(self) -> float:
        """Requests per second that the fleet sends to the target."""
        return max(self.per_second, MIN_PER_SECOND)

    def has_expired(self, now: Seconds) -> bool:
        """Whether the limit was not repeated for ``LIMIT_EXPIRY_S``."""
        return now - self.stated_at >= LIMIT_EXPIRY_S


@dataclass(frozen=True, slots=True)
class WarmUpBound:
    """The operator's bound on the requests that a cold target gets.

    In no second may it get more than the rate that it tolerates times
    ``overshoot``, plus ``slack``.
    """

    overshoot: float
    slack: float

    def rate(self, per_second: float) -> float:
        """Return the rate at which all schedulers together keep the bound.

        Parameters
        ----------
        per_second
            Requests per second that a cold target tolerates; 0 for no limit.
        """
        if not per_second:
            return 0
        most = per_second * self.overshoot + self.slack
        # In one second: the coordinator and one that lost the store send a
        # request that they have saved and those of their rates, the others
        # take turns.
        saved = 2
        granted = (1 + UNCOORDINATED_PART) * (1 + COLD_GRANT_LIFE_S)
        turns = UNCOORDINATED_PART * (1 + COLD_GRANT_LIFE_S + TURN_S)
        allowed = (most - saved) / (granted + turns)
        return min(per_second, max(MIN_PER_SECOND, allowed))


class KnownLimits:
    """Newest known limit of each target instance.

    Attributes
    ----------
    limits
        Limits in force, ordered by when they were last stated.
    """

    def __init__(self) -> None:
        """Create the object without limits."""
        self.limits: dict[TargetLife, RateLimit] = {}

    def current(self, life: TargetLife, now: Seconds) -> RateLimit | None:
        """Return the limit of a target instance, None if it has none."""
        limit = self.limits.get(life)
        if limit is not None and limit.has_expired(now):
            self.limits.pop(life)
            return None
        return limit

    def record(
        self, life: TargetLife, statement: LimitStatement, now: Seconds
    ) -> bool:
        """Apply a statement of a target.

        Parameters
        ----------
        life
            The target instance that responded.
        statement
            What it said.
        now
            When it was said, in seconds.

        Returns
        -------
        bool
            Whether a limit was set, changed or lifted.
        """
        if not statement.is_usable:
            return False
        known = self.current(life, now)
        if statement.kind is LimitKind.NONE:
            self.limits.pop(life, None)
            return known is not None
        self.adopt(life, RateLimit(statement.per_second, now))
        return known is None or known.per_second != statement.per_second

    def adopt(self, life: TargetLife, limit: RateLimit) -> None:
        """Replace the known limit of a target instance."""
        self.limits.pop(life, None)
        self.limits[life] = limit
        if len(self.limits) > MAX_KNOWN_LIMITS:
            self.limits.pop(next(iter(self.limits)))
