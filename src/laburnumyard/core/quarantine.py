"""Quarantine of requests suspected of crashing the targets that run them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

import xxhash

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import (
    DaemonName,
    Seconds,
    ServiceName,
    TargetName,
)

# Digest that identifies a request across repeated submissions.
Fingerprint = NewType('Fingerprint', bytes)
# Identifies one target crash; each daemon that detects it assigns its own.
DeathId = NewType('DeathId', str)

# Number of target crashes after which a request is refused.
DEATHS_LIMIT = 2
# Daemons detect a crash from connections that close with it. Crashes of one
# target that two daemons detect within this time are the same crash; a target
# takes longer to restart and crash again.
SAME_DEATH_S = 0.25
# How long a crash counts against a request.
QUARANTINE_TIME_S = 300
# Largest number of suspected requests kept; the oldest are evicted.
SUSPECTS_LIMIT = 1024


@dataclass(frozen=True, slots=True)
class Suspect:
    """A suspected request as exchanged between daemons.

    Parameters
    ----------
    fingerprint
        The request.
    deaths
        The target crashes attributed to it, at most two.
    remaining
        Remaining time of suspicion, in seconds; a duration, because daemons
        share no clock.
    """

    fingerprint: Fingerprint
    deaths: frozenset[DeathId]
    remaining: Seconds


@dataclass(frozen=True, slots=True)
class _CrashDetection:
    target: str
    daemon: str


@dataclass(slots=True)
class _Record:
    deaths: frozenset[DeathId]
    until: Seconds

    def is_same_death(self, other: '_Record') -> bool:
        """Return whether both hold a single crash, and it is the same one."""
        if len(self.deaths) != 1 or len(other.deaths) != 1:
            return False
        if abs(self.until - other.until) > SAME_DEATH_S:
            return False
        mine, theirs = (_parse_death_id(*each.deaths) for each in (self, other))
        # Two identifiers from the same daemon are two different crashes.
        return mine.target == theirs.target and mine.daemon != theirs.daemon

    def merge_with(self, other: '_Record') -> None:
        """Add the crashes of another record."""
        if other.deaths <= self.deaths:
            return
        if self.is_same_death(other):
            # Keep the first detection, so that the detections of a crash loop
            # do not chain into a single crash.
            self.until = min(self.until, other.until)
            self.deaths = min(self.deaths, other.deaths, key=sorted)
            return
        self.deaths = _bounded(self.deaths | other.deaths)
        self.until = max(self.until, other.until)


def death_id(target: TargetName, daemon: DaemonName, token: str) -> DeathId:
    """Return the identifier of a target crash.

    Parameters
    ----------
    target
        The target.
    daemon
        The daemon that detected it.
    token
        Distinguishes this crash from others that the daemon detected.
    """
    return DeathId(f'{target}/{daemon}/{token}')


def fingerprint_of(
    service: ServiceName,
    method: str,
    path: str,
    key: str,
    body: bytes,
) -> Fingerprint:
    """Return the digest of the parts that a repeated request has in common.

    Parameters
    ----------
    service, method, path, key, body
        Parts of the request; its id, deadline and ticket differ between
        attempts and are excluded.

    Returns
    -------
    Fingerprint
        16 bytes.
    """
    digest = xxhash.xxh3_128()
    for part in (service, method, path, key):
        encoded = part.encode()
        # The length prefix distinguishes ('ab', 'c') from ('a', 'bc').
        digest.update(f'{len(encoded)}:'.encode())
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.digest())


class Quarantine:
    """Suspected requests known to one daemon."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.records: dict[Fingerprint, _Record] = {}

    def note_death(
        self,
        death: DeathId,
        running: Iterable[Fingerprint],
        now: Seconds,
    ) -> tuple[Suspect, ...]:
        """Record a target crash against the requests that the target ran.

        Parameters
        ----------
        death
            The identifier of the crash; see `death_id`.
        running
            The requests that the target ran when it crashed.
        now
            The time, in seconds.

        Returns
        -------
        tuple of Suspect
            The suspects to send to the peers now.
        """
        fingerprints = tuple(running)
        for fingerprint in fingerprints:
            self._add(
                Suspect(fingerprint, frozenset((death,)), QUARANTINE_TIME_S),
                now,
            )
        return self._select(fingerprints, now)

    def clear_suspicion(self, fingerprint: Fingerprint) -> None:
        """Clear the suspicion of a request that a target answered completely.

        Without this, a popular read that happens to be in flight at two crashes
        would be refused.
        """
        self.records.pop(fingerprint, None)

    def merge(self, suspects: Iterable[Suspect], now: Seconds) -> None:
        """Merge the suspects of a peer.

        The crashes of each request are united. Merging is commutative and
        idempotent, except for a chain of crashes of one target that are each
        close to the next. Only a crash that is new here extends the time, so
        that daemons do not keep a record alive by exchanging it.
        """
        for suspect in suspects:
            self._add(suspect, now)

    def refusal(self, fingerprint: Fingerprint, now: Seconds) -> Failure | None:
        """Return the refusal of a request after `DEATHS_LIMIT` crashes."""
        record = self.records.get(fingerprint)
        if record is None or record.until <= now:
            return None
        if len(record.deaths) < DEATHS_LIMIT:
            return None
        remaining = record.until - now
        return Failure(
            ErrorKind.QUARANTINED,
            f'refused for another {remaining:.0f} s',
        )

    def is_suspect(self, fingerprint: Fingerprint, now: Seconds) -> bool:
        """Return whether a target crashed while it ran the request.

        Suspected requests are not retried automatically.
        """
        record = self.records.get(fingerprint)
        return record is not None and record.until > now

    def suspects(self, now: Seconds) -> tuple[Suspect, ...]:
        """Return all current suspects, for a peer that joins."""
        return self._select(tuple(self.records), now)

    def _select(
        self,
        fingerprints: Iterable[Fingerprint],
        now: Seconds,
    ) -> tuple[Suspect, ...]:
        return tuple(
            Suspect(
                fingerprint,
                self.records[fingerprint].deaths,
                Seconds(self.records[fingerprint].until - now),
            )
            for fingerprint in fingerprints
            if self.is_suspect(fingerprint, now)
        )

    def _add(self, suspect: Suspect, now: Seconds) -> None:
        remaining = min(suspect.remaining, QUARANTINE_TIME_S)
        until = Seconds(now + remaining)
        if until <= now:
            return
        new_record = _Record(_bounded(suspect.deaths), until)
        record = self.records.get(suspect.fingerprint)
        if record is None or record.until <= now:
            self._evict_oldest(now)
            self.records[suspect.fingerprint] = new_record
            return
        record.merge_with(new_record)

    def _evict_oldest(self, now: Seconds) -> None:
        if len(self.records) < SUSPECTS_LIMIT:
            return
        oldest = min(self.records, key=lambda each: self.records[each].until)
        self.records.pop(oldest)


def _parse_death_id(death: DeathId) -> _CrashDetection:
    """Parse the identifier of a crash, which may come from any peer."""
    target, *rest = death.split('/', 1)
    return _CrashDetection(target, rest[0].partition('/')[0] if rest else '')


def _bounded(deaths: frozenset[DeathId]) -> frozenset[DeathId]:
    return frozenset(sorted(deaths)[:DEATHS_LIMIT])
