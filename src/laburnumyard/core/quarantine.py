"""Requests that are suspected of crashing the targets that run them."""

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

# A digest of what makes a request the same one when it is sent again.
Fingerprint = NewType('Fingerprint', bytes)
# Names one death of one target; each daemon that notices it draws a name.
DeathId = NewType('DeathId', str)

# Deaths after which a request is refused.
DEATHS_LIMIT = 2
# Daemons notice a death by connections that end with it. Deaths of one target
# that two daemons notice closer together are taken for one; a target takes
# longer to start and die again.
SAME_DEATH_S = 0.25
# How long a death is held against a request.
QUARANTINE_TIME_S = 300
# Suspects that are remembered; the oldest make room.
SUSPECTS_LIMIT = 1024


@dataclass(frozen=True, slots=True)
class Suspect:
    """One suspected request, as daemons pass it on.

    Parameters
    ----------
    fingerprint
        The request.
    deaths
        The deaths that followed it, at most two.
    remaining
        How much longer it is remembered, in seconds; a length of time,
        because daemons share no clock.
    """

    fingerprint: Fingerprint
    deaths: frozenset[DeathId]
    remaining: Seconds


@dataclass(frozen=True, slots=True)
class _Notice:
    target: str
    daemon: str


@dataclass(slots=True)
class _Record:
    deaths: frozenset[DeathId]
    until: Seconds

    def is_same_death(self, other: '_Record') -> bool:
        """Tell whether both hold one death, and the same one."""
        if len(self.deaths) != 1 or len(other.deaths) != 1:
            return False
        if abs(self.until - other.until) > SAME_DEATH_S:
            return False
        mine, news = (_notice(*each.deaths) for each in (self, other))
        # A daemon gives two names only to two deaths.
        return mine.target == news.target and mine.daemon != news.daemon

    def unite(self, other: '_Record') -> None:
        """Take over the deaths that are new."""
        if other.deaths <= self.deaths:
            return
        if self.is_same_death(other):
            # The first notice, so that a crash loop doesn't stay one death.
            self.until = min(self.until, other.until)
            self.deaths = min(self.deaths, other.deaths, key=sorted)
            return
        self.deaths = _bounded(self.deaths | other.deaths)
        self.until = max(self.until, other.until)


def death_id(target: TargetName, daemon: DaemonName, token: str) -> DeathId:
    """Name a death of a target.

    Parameters
    ----------
    target
        The target.
    daemon
        Who has noticed it.
    token
        Tells this death from others that the daemon has noticed.
    """
    return DeathId(f'{target}/{daemon}/{token}')


def fingerprint_of(
    service: ServiceName,
    method: str,
    path: str,
    key: str,
    body: bytes,
) -> Fingerprint:
    """Digest what a caller repeats when it sends a request again.

    Parameters
    ----------
    service, method, path, key, body
        The request's own; its id, deadline and ticket differ between tries.

    Returns
    -------
    Fingerprint
        16 bytes.
    """
    digest = xxhash.xxh3_128()
    for part in (service, method, path, key):
        encoded = part.encode()
        # The length keeps ('ab', 'c') apart from ('a', 'bc').
        digest.update(f'{len(encoded)}:'.encode())
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.digest())


class Quarantine:
    """The requests after which a target died, at one daemon."""

    def __init__(self) -> None:
        """Start without a suspect."""
        self.records: dict[Fingerprint, _Record] = {}

    def note_death(
        self,
        death: DeathId,
        running: Iterable[Fingerprint],
        now: Seconds,
    ) -> tuple[Suspect, ...]:
        """Hold the death of a target against what it ran.

        Parameters
        ----------
        death
            Names this death; see `death_id`.
        running
            What the target ran when it died.
        now
            The time.

        Returns
        -------
        tuple of Suspect
            What to pass on to the peers now.
        """
        fingerprints = tuple(running)
        for fingerprint in fingerprints:
            self._add(
                Suspect(fingerprint, frozenset((death,)), QUARANTINE_TIME_S),
                now,
            )
        return self._select(fingerprints, now)

    def acquit(self, fingerprint: Fingerprint) -> None:
        """Suspect a request no longer: a target has answered it whole.

        Without that, a popular read that happens to be in flight at two deaths
        would be refused.
        """
        self.records.pop(fingerprint, None)

    def merge(self, suspects: Iterable[Suspect], now: Seconds) -> None:
        """Take in what a peer knows.

        The deaths of each request are united; the order of the merges and
        their number make no difference, but for a chain of deaths of one
        target that are each close to the next. Only a death that is new here
        extends the time, so that daemons don't keep a record alive by
        passing it to and fro.
        """
        for suspect in suspects:
            self._add(suspect, now)

    def refusal(self, fingerprint: Fingerprint, now: Seconds) -> Failure | None:
        """Refuse a request after the second death; None where it may run."""
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
        """Tell whether a target died while it ran the request.

        A suspect is not retried by the system itself.
        """
        record = self.records.get(fingerprint)
        return record is not None and record.until > now

    def suspects(self, now: Seconds) -> tuple[Suspect, ...]:
        """Give everything that is remembered, for a peer that joins."""
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
        news = _Record(_bounded(suspect.deaths), until)
        record = self.records.get(suspect.fingerprint)
        if record is None or record.until <= now:
            self._make_room(now)
            self.records[suspect.fingerprint] = news
            return
        record.unite(news)

    def _make_room(self, now: Seconds) -> None:
        if len(self.records) < SUSPECTS_LIMIT:
            return
        oldest = min(self.records, key=lambda each: self.records[each].until)
        self.records.pop(oldest)


def _notice(death: DeathId) -> _Notice:
    """Take a name of a death apart; it may come from any peer."""
    target, *rest = death.split('/', 1)
    return _Notice(target, rest[0].partition('/')[0] if rest else '')


def _bounded(deaths: frozenset[DeathId]) -> frozenset[DeathId]:
    return frozenset(sorted(deaths)[:DEATHS_LIMIT])
