"""Judges a load from outside: targets' journals against callers' answers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from standins._load_report import Outcome

# A request that takes longer found its key unavailable.
UNAVAILABLE_S = 0.25


@dataclass(frozen=True, slots=True)
class Verdict:
    """What an outside observer found.

    Parameters
    ----------
    sent
        Requests that callers sent.
    whole
        Answers of a target, whole and the caller's own.
    foreign
        Answers that were incomplete or somebody else's.
    not_run
        Requests whose caller was told that they did not run.
    unknown
        Requests whose outcome their caller does not know.
    most_runs
        The most executions of one ticket.
    false_not_run
        Requests that ran although their caller was told ``not-run``.
    unavailable_s
        The longest time for which a key was not served, in seconds.
    """

    sent: int
    whole: int
    foreign: int
    not_run: int
    unknown: int
    most_runs: int
    false_not_run: int
    unavailable_s: float


@dataclass(frozen=True, slots=True)
class Started:
    """One line of a target's journal.

    Parameters
    ----------
    ticket, echo
        As the request carried them.
    start_ms
        The boot-time clock, in milliseconds.
    """

    ticket: str
    echo: str
    start_ms: float = 0


def read_journals(paths: Iterable[Path]) -> tuple[Started, ...]:
    """Return what all targets started to run, dead ones included."""
    lines = (
        line
        for path in paths
        if path.exists()
        for line in path.read_text().splitlines()
    )
    return tuple(map(_started, lines))


def judge(
    outcomes: Iterable[Outcome],
    started: Iterable[Started],
    foreign: int,
) -> Verdict:
    """Compare what callers were told with what targets ran."""
    told = tuple(outcomes)
    runs = tuple(started)
    by_ticket = Counter(run.ticket for run in runs if run.ticket)
    by_echo = Counter(run.echo for run in runs)
    refused = [each for each in told if each.ran == 'not-run']
    return Verdict(
        sent=len(told),
        whole=sum(_is_whole(each) for each in told),
        foreign=foreign,
        not_run=len(refused),
        unknown=sum(each.ran in {'', 'unknown'} for each in told),
        most_runs=max(by_ticket.values(), default=0),
        false_not_run=sum(_ran(each, by_ticket, by_echo) for each in refused),
        unavailable_s=max(unavailable_times(told), default=0),
    )


def unavailable_times(outcomes: Iterable[Outcome]) -> Iterator[float]:
    """Yield, for each key, its longest time without service, in seconds."""
    by_key: defaultdict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        by_key[outcome.key].append(outcome)
    for told in by_key.values():
        yield _longest_gap(sorted(told, key=lambda each: each.sent_s))


def _longest_gap(told: list[Outcome]) -> float:
    """Return the longest time from a failure to the next whole answer."""
    longest: float = 0
    failed_at: float | None = None
    for outcome in told:
        taken = outcome.ended_s - outcome.sent_s
        is_served = _is_whole(outcome) and taken < UNAVAILABLE_S
        if failed_at is None and not is_served:
            failed_at = outcome.sent_s
        if failed_at is not None and _is_whole(outcome):
            longest = max(longest, outcome.ended_s - failed_at)
            failed_at = None
    if failed_at is not None:
        longest = max(longest, told[-1].ended_s - failed_at)
    return longest


def _is_whole(outcome: Outcome) -> bool:
    return outcome.ran == 'ran'


def _ran(
    outcome: Outcome,
    by_ticket: Counter[str],
    by_echo: Counter[str],
) -> bool:
    if outcome.ticket:
        return by_ticket[outcome.ticket] > 0
    return by_echo[outcome.echo] > 0


def _started(line: str) -> Started:
    pairs = dict(part.partition('=')[::2] for part in line.split())
    start_ms = float(pairs.get('start_ms', 0))
    return Started(pairs.get('ticket', ''), pairs.get('echo', ''), start_ms)
