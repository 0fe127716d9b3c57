"""Tells entries of an older copy of the store from current ones.

A store that comes back from a copy lists targets as they were then: some have
left since, or have said that they leave.
"""

from dataclasses import dataclass, replace

from laburnumyard.core.ids import TargetId
from laburnumyard.core.target_directory import TargetRecord
from laburnumyard.gateway._store_revision import era_of

# Removed targets to remember; the oldest is forgotten first.
MAX_VERSIONS = 2000


@dataclass(frozen=True, slots=True)
class EntryVersion:
    """The newest known entry of a target.

    Parameters
    ----------
    started_at_ms, sequence
        Start of the target, and the number of the write since.
    era
        Era of the store in which it was read or removed.
    is_removed
        Whether the entry is gone.
    """

    started_at_ms: int
    sequence: int
    era: int
    is_removed: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of the writes of a target."""
        return self.started_at_ms, self.sequence

    def continues(self, earlier: 'EntryVersion | None') -> bool:
        """Whether the same start of a target wrote again in this era."""
        return (
            earlier is not None
            and earlier.era == self.era
            and earlier.started_at_ms == self.started_at_ms
            and earlier.sequence < self.sequence
        )


class EntryVersions:
    """The newest known entry of each target, also of removed ones."""

    def __init__(self) -> None:
        """Create the object without entries."""
        self.known: dict[TargetId, EntryVersion] = {}
        # Entries that were taken for outdated.
        self.doubted: dict[TargetId, EntryVersion] = {}

    def record(self, record: TargetRecord, revision: int) -> None:
        """Record an entry that is applied."""
        self.doubted.pop(record.target, None)
        self.known.pop(record.target, None)
        self.known[record.target] = _version(record, revision)
        if len(self.known) > MAX_VERSIONS:
            self.known.pop(next(iter(self.known)))

    def record_removal(self, target: TargetId, revision: int) -> None:
        """Record that the entry of a target is gone."""
        version = self.known.get(target)
        if version is not None:
            era = max(version.era, era_of(revision))
            self.known[target] = replace(version, era=era, is_removed=True)

    def is_outdated(
        self, record: TargetRecord, revision: int, *, is_from_peer: bool
    ) -> bool:
        """Whether an entry is older than what an earlier era had.

        Within an era, a later revision is a later write. A removed target is
        current if it goes on writing, and so is one with an earlier start time:
        the time of day of its machine was set back.

        Parameters
        ----------
        record, revision
            The entry.
        is_from_peer
            Whether a peer has read and checked it; peers do not pass on writes
            that change nothing.
        """
        known = self.known.get(record.target)
        found = _version(record, revision)
        if known is None or found.era <= known.era:
            return False
        is_removed = known.is_removed
        if found.order > known.order and (is_from_peer or not is_removed):
            return False
        if found.order == known.order and not is_removed:
            return False
        doubted = self.doubted.get(record.target)
        self.doubted[record.target] = found
        is_earlier_start = found.started_at_ms < known.started_at_ms
        may_continue = is_removed or is_earlier_start
        return not (may_continue and found.continues(doubted))


def _version(record: TargetRecord, revision: int) -> EntryVersion:
    return EntryVersion(
        record.life.started_at_ms, record.sequence, era_of(revision)
    )
