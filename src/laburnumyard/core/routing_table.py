"""The routing table: lookup of the target that owns a key of a service."""

from bisect import bisect_right

from laburnumyard.core.ids import KeyHash, ServiceName, TargetName, Version
from laburnumyard.schema._generated.messages import Assignment, OwnedRange


class RoutingTable:
    """The owners of a service's ranges, indexed by range start.

    Parameters
    ----------
    assignment
        All owned ranges of the service.
    version
        The version of the assignment's head.
    """

    def __init__(self, assignment: Assignment, version: Version) -> None:
        """Sort the ranges once, so that each lookup is a bisection."""
        self.service = ServiceName(assignment.service)
        self.version = version
        self.ranges = sorted(assignment.ranges, key=lambda owned: owned.start)
        self.starts = [owned.start for owned in self.ranges]

    def owner(self, key_hash: KeyHash) -> TargetName | None:
        """Return the target that owns a key, or None if no range holds it.

        Parameters
        ----------
        key_hash
            The hash of the key.

        Returns
        -------
        TargetName or None
            The owner as of this version.
        """
        owned = self.range_of(key_hash)
        return TargetName(owned.target) if owned else None

    def range_of(self, key_hash: KeyHash) -> OwnedRange | None:
        """Return the range that holds a key, or None."""
        position = bisect_right(self.starts, key_hash) - 1
        if position < 0:
            return None
        owned = self.ranges[position]
        return owned if key_hash <= owned.last else None
