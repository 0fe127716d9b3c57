"""The state of the platform stand-in's key-value service."""

from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value.

    Parameters
    ----------
    content
        The value.
    revision
        The revision of the write that stored it.
    lease
        The lease that it vanishes with, or an empty string.
    """

    content: bytes
    revision: int
    lease: str = ''


@dataclass(frozen=True, slots=True)
class Swap:
    """The outcome of a conditional write: applied or not, and the revision."""

    is_applied: bool
    revision: int


@dataclass(slots=True)
class Lease:
    """A lease and the time at which it lapses, in seconds."""

    ttl_s: float
    until: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The entries and the revision of a store at one moment."""

    entries: Mapping[str, Entry]
    revision: int


@dataclass(slots=True)
class KeyValue:
    """Keys, values and leases; revisions rise over the whole store.

    Attributes
    ----------
    removed
        The revision at which each absent key was removed.
    era
        How often the store has come back from an older copy, plus one.
    history_from
        Changes up to this revision are forgotten.
    """

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    revision: int = 0
    removed: dict[str, int] = field(default_factory=dict)
    era: int = 1
    history_from: int = 0

    def copy(self) -> StoreCopy:
        """Return a copy to restore from."""
        return StoreCopy(dict(self.entries), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy.

        Later writes are lost, revisions are given out again, and no lease is
        left; keys with a lease are gone.
        """
        self.entries = {
            key: entry for key, entry in copy.entries.items() if not entry.lease
        }
        self.revision = copy.revision
        self.history_from = copy.revision
        self.leases.clear()
        self.removed.clear()
        self.era += 1

    def has_history(self, after: int) -> bool:
        """Whether all changes after a revision are known."""
        return self.history_from <= after <= self.revision

    def read(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self.entries.get(key)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 where it is absent."""
        entry = self.entries.get(key)
        return entry.revision if entry else 0

    def write(
        self,
        key: str,
        content: bytes,
        expected: int,
        lease: str = '',
    ) -> Swap:
        """Store a value if the key's revision is the expected one.

        Parameters
        ----------
        key
            The key.
        content
            The value.
        expected
            The revision that the key must have, 0 for an absent key.
        lease
            The lease that the key vanishes with.
        """
        current = self.revision_of(key)
        if current != expected:
            return Swap(is_applied=False, revision=current)
        self.revision += 1
        self.entries[key] = Entry(content, self.revision, lease)
        self.removed.pop(key, None)
        return Swap(is_applied=True, revision=self.revision)

    def delete(self, key: str, expected: int) -> Swap:
        """Remove a key if its revision is the expected one."""
        current = self.revision_of(key)
        if current != expected or not current:
            return Swap(is_applied=False, revision=current)
        self.revision += 1
        self.entries.pop(key)
        self.removed[key] = self.revision
        return Swap(is_applied=True, revision=self.revision)

    def keys(self, prefix: str) -> dict[str, int]:
        """Return the keys with a prefix and their revisions."""
        return {
            key: entry.revision
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        }

    def grant_lease(self, ttl_s: float, now: float) -> str:
        """Open a lease and return its id."""
        self.revision += 1
        lease_id = f'lease-{self.revision}'
        self.leases[lease_id] = Lease(ttl_s, now + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: str, now: float) -> bool:
        """Extend a lease; False where it has lapsed."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.until = now + lease.ttl_s
        return True

    def expire(self, now: float) -> None:
        """Drop the lapsed leases and the keys that vanish with them."""
        lapsed = {
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.until <= now
        }
        if lapsed:
            self.end_leases(lapsed)

    def end_leases(self, ended: set[str]) -> None:
        """Drop leases and the keys that vanish with them."""
        for lease_id in ended:
            self.leases.pop(lease_id, None)
        self._drop_keys(ended)

    def _drop_keys(self, lapsed: set[str]) -> None:
        doomed = [
            key for key, entry in self.entries.items() if entry.lease in lapsed
        ]
        for key in doomed:
            self.revision += 1
            self.entries.pop(key)
            self.removed[key] = self.revision
