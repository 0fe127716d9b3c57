"""The state of the platform stand-in's key-value service."""

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


@dataclass(slots=True)
class KeyValue:
    """Keys, values and leases; revisions rise over the whole store."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    revision: int = 0

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
        return Swap(is_applied=True, revision=self.revision)

    def delete(self, key: str, expected: int) -> Swap:
        """Remove a key if its revision is the expected one."""
        current = self.revision_of(key)
        if current != expected or not current:
            return Swap(is_applied=False, revision=current)
        self.revision += 1
        self.entries.pop(key)
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
        for lease_id in lapsed:
            self.leases.pop(lease_id)
        if lapsed:
            self._drop_keys(lapsed)

    def _drop_keys(self, lapsed: set[str]) -> None:
        doomed = [
            key for key, entry in self.entries.items() if entry.lease in lapsed
        ]
        for key in doomed:
            self.revision += 1
            self.entries.pop(key)
