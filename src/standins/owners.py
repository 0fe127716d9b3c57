"""Judges ownership from outside: the targets' own records of their grants."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import pairwise, takewhile
from typing import Any


@dataclass(frozen=True, slots=True)
class Holding:
    """A stretch of time in which a target owned a range of key hashes.

    Parameters
    ----------
    service, target
        Who owned it.
    start, last
        The inclusive range of key hashes.
    from_ms, until_ms
        The boot-time clock in milliseconds; ``until_ms`` is exclusive.
    term
        The term of the grant.
    """

    service: str
    target: str
    start: int
    last: int
    from_ms: float
    until_ms: float
    term: int


@dataclass(frozen=True, slots=True)
class TwoOwners:
    """Two targets that owned a key hash at the same moment.

    Parameters
    ----------
    first, second
        The holdings that overlap.
    """

    first: Holding
    second: Holding

    @property
    def overlap_ms(self) -> float:
        """How long both owned it, in milliseconds."""
        until_ms = min(self.first.until_ms, self.second.until_ms)
        return until_ms - max(self.first.from_ms, self.second.from_ms)


@dataclass(frozen=True, slots=True)
class KeyRun:
    """One execution on a key at a target that checks no grants.

    Parameters
    ----------
    target, key_hash
        Where it ran, and on which key.
    start_ms, end_ms
        The boot-time clock in milliseconds.
    """

    target: str
    key_hash: str
    start_ms: float
    end_ms: float


def read_runs(
    target: str,
    exported: Mapping[str, Any],
    ended_ms: float,
) -> Iterator[KeyRun]:
    """Yield what a target ran.

    Parameters
    ----------
    target
        The target.
    exported
        The answer of its ``/stand-in/runs``.
    ended_ms
        The end of executions that had not ended.
    """
    for run in exported['runs']:
        end_ms = run['end_ms'] or ended_ms
        yield KeyRun(target, run['key_hash'], run['start_ms'], end_ms)


def find_concurrent_runs(
    runs: Iterable[KeyRun],
) -> tuple[tuple[KeyRun, KeyRun], ...]:
    """Return executions on one key at two targets at the same moment."""
    by_start = sorted(runs, key=lambda run: (run.key_hash, run.start_ms))
    return tuple(
        (first, second)
        for place, first in enumerate(by_start)
        for second in takewhile(
            partial(_runs_at_once, first), by_start[place + 1 :]
        )
        if second.target != first.target
    )


def read_holdings(
    exported: Mapping[str, Any],
    ended_ms: float | None = None,
) -> Iterator[Holding]:
    """Yield what a target owned.

    Parameters
    ----------
    exported
        The answer of its ``/stand-in/grants``.
    ended_ms
        When its process was killed, on the boot-time clock.
    """
    for grant in exported['grants']:
        until_ms = grant['until_ms']
        if ended_ms is not None:
            until_ms = min(until_ms, ended_ms)
        for start, last in grant['ranges']:
            yield Holding(
                exported['service'],
                exported['name'],
                int(start),
                int(last),
                grant['from_ms'],
                until_ms,
                grant['term'],
            )


def find_two_owners(holdings: Iterable[Holding]) -> tuple[TwoOwners, ...]:
    """Return each pair of targets that owned a key hash at once."""
    by_start = sorted(holdings, key=lambda each: (each.service, each.from_ms))
    return tuple(_pairs(by_start))


def find_falling_terms(exported: Mapping[str, Any]) -> tuple[int, ...]:
    """Return each term that a target took from an older manager."""
    terms = (grant['term'] for grant in exported['grants'])
    return tuple(later for earlier, later in pairwise(terms) if later < earlier)


def _pairs(by_start: list[Holding]) -> Iterator[TwoOwners]:
    for place, first in enumerate(by_start):
        for second in takewhile(
            partial(_is_at_once, first), by_start[place + 1 :]
        ):
            if _share_keys(first, second):
                yield TwoOwners(first, second)


def _runs_at_once(first: KeyRun, second: KeyRun) -> bool:
    is_earlier = second.start_ms < first.end_ms
    return is_earlier and first.key_hash == second.key_hash


def _is_at_once(first: Holding, second: Holding) -> bool:
    is_earlier = second.from_ms < first.until_ms
    return is_earlier and first.service == second.service


def _share_keys(first: Holding, second: Holding) -> bool:
    is_shared = first.start <= second.last and second.start <= first.last
    is_live = second.from_ms < second.until_ms
    return first.target != second.target and is_shared and is_live
