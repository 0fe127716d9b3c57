"""What outside observers find in a trial."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from standins._load_report import LoadReport
from standins._target_state import read_clock_ms
from standins.cluster import Cluster, call
from standins.observer import Verdict, judge, read_journals
from standins.owners import (
    Holding,
    KeyRun,
    TwoOwners,
    find_falling_terms,
    read_holdings,
    read_runs,
)


@dataclass(frozen=True, slots=True)
class Findings:
    """What the observers found.

    Parameters
    ----------
    verdicts
        The verdict on each class of callers.
    two_owners
        Pairs of targets that owned a key at the same moment.
    falling_terms
        Terms that a target took after a newer one.
    concurrent_runs
        Executions on one key at two targets that check no grants.
    """

    verdicts: dict[str, Verdict]
    two_owners: tuple[TwoOwners, ...]
    falling_terms: tuple[int, ...]
    concurrent_runs: tuple[tuple[KeyRun, KeyRun], ...] = ()

    def problems(self) -> Iterator[str]:
        """Yield each invariant that did not hold."""
        for pair in self.two_owners:
            yield f'two owners for {pair.overlap_ms} ms: {pair}'
        for runs in self.concurrent_runs:
            yield f'two targets ran a key at once: {runs}'
        if self.falling_terms:
            yield f'targets took older terms: {self.falling_terms}'
        for name, verdict in self.verdicts.items():
            if verdict.foreign:
                yield f'{name}: {verdict.foreign} answers not whole or foreign'
            if verdict.most_runs > 1:
                yield f'{name}: a ticket ran {verdict.most_runs} times'
            if verdict.false_not_run:
                yield f'{name}: {verdict.false_not_run} ran despite not-run'


class GrantRecord:
    """The targets' own records of their grants, of lost targets too.

    Parameters
    ----------
    cluster
        The deployment.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Start without a record."""
        self.cluster = cluster
        self.exported: dict[str, dict[str, Any]] = {}
        self.ran: dict[str, dict[str, Any]] = {}
        self.ended_ms: dict[str, float] = {}

    def read(self, name: str) -> None:
        """Read the record of a target that runs."""
        targets = self.cluster.places.targets
        address = next(each.address for each in targets if each.name == name)
        self.exported[name] = _read(address, '/stand-in/grants')
        self.ran[name] = _read(address, '/stand-in/runs')

    def read_all(self) -> None:
        """Read the records of all targets that run."""
        for target in self.cluster.places.targets:
            if target.name not in self.ended_ms:
                self.read(target.name)

    def note_end(self, name: str) -> None:
        """Note that a target's process has just ended."""
        self.ended_ms[name] = read_clock_ms()

    def holdings(self) -> Iterator[Holding]:
        """Yield what every target owned."""
        for name, exported in self.exported.items():
            yield from read_holdings(exported, self.ended_ms.get(name))

    def unfenced_runs(self) -> Iterator[KeyRun]:
        """Yield what the targets ran that check no grants."""
        now_ms = read_clock_ms()
        for name, ran in self.ran.items():
            if self.exported[name]['fencing'] == 'none':
                ended_ms = self.ended_ms.get(name, now_ms)
                yield from read_runs(name, ran, ended_ms)

    def falling_terms(self) -> Iterator[int]:
        """Yield each term that a target took after a newer one."""
        for exported in self.exported.values():
            yield from find_falling_terms(exported)


def _read(address: str, path: str) -> dict[str, Any]:
    return json.loads(call(address, 'GET', path)[1])


def judge_classes(
    cluster: Cluster,
    reports: Iterable[LoadReport],
) -> dict[str, Verdict]:
    """Return the verdict on each class of callers of each load."""
    targets = cluster.places.targets
    started = read_journals(cluster.journal_of(each.name) for each in targets)
    verdicts: dict[str, Verdict] = {}
    for place, report in enumerate(reports):
        for name, counts in report.classes.items():
            told = (
                each for each in report.outcomes if each.caller_class == name
            )
            verdict = judge(told, started, counts.foreign)
            verdicts[f'{name}/{place}'] = verdict
    return verdicts
