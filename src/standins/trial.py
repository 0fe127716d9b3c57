"""A deployment under load and faults, judged by outside observers."""

import json
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import anyio

from standins._load_report import LoadReport, Outcome
from standins._load_run import run_load
from standins._load_settings import CallerClass, LoadSettings
from standins._target_state import read_clock_ms
from standins.cluster import Cluster, call
from standins.observer import (
    Verdict,
    judge,
    read_journals,
    unavailable_times,
)
from standins.owners import (
    Holding,
    TwoOwners,
    find_falling_terms,
    find_two_owners,
    read_holdings,
)

RECOVERY_LIMIT_S = 15
POLL_INTERVAL_S = 0.05
CALLER_TIMEOUT_S = 3
PROBED_KEYS = 12
PROBE_DEADLINE_MS = 1000


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
    """

    verdicts: dict[str, Verdict]
    two_owners: tuple[TwoOwners, ...]
    falling_terms: tuple[int, ...]

    def problems(self) -> Iterator[str]:
        """Yield each invariant that did not hold."""
        for pair in self.two_owners:
            yield f'two owners for {pair.overlap_ms} ms: {pair}'
        if self.falling_terms:
            yield f'targets took older terms: {self.falling_terms}'
        for name, verdict in self.verdicts.items():
            if verdict.foreign:
                yield f'{name}: {verdict.foreign} answers not whole or foreign'
            if verdict.most_runs > 1:
                yield f'{name}: a ticket ran {verdict.most_runs} times'
            if verdict.false_not_run:
                yield f'{name}: {verdict.false_not_run} ran despite not-run'


class Trial:
    """Loads a running deployment, hurts it and judges what was seen.

    Parameters
    ----------
    cluster
        The running deployment.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Start without load."""
        self.cluster = cluster
        self.reports: list[LoadReport] = []
        self.threads: list[threading.Thread] = []
        self.holdings: list[Holding] = []
        self.falling_terms: list[int] = []
        self.lost: set[str] = set()

    def send(self, *classes: CallerClass) -> None:
        """Start to send a load through all daemons."""
        settings = LoadSettings(
            self.cluster.caller_addresses,
            classes,
            timeout_s=CALLER_TIMEOUT_S,
            keep_outcomes=True,
        )
        thread = threading.Thread(target=self._run_load, args=(settings,))
        thread.start()
        self.threads.append(thread)

    def join(self) -> None:
        """Wait until every load has ended."""
        for thread in self.threads:
            thread.join()
        self.threads.clear()

    def kill_target(self, name: str) -> None:
        """End a target at once; what it owned until then stays on record."""
        exported = self._read_grants(name)
        self.cluster.kill(name)
        self._record(exported, read_clock_ms())
        self.lost.add(name)

    def note_dead_target(self, name: str) -> None:
        """Note that a target has ended by itself."""
        self.cluster.processes[name].wait()
        self.lost.add(name)

    def status(self, daemon: str) -> dict[str, Any]:
        """Return what a daemon says of itself."""
        address = self.daemon_place(daemon).admin
        return json.loads(call(address, 'GET', '/status')[1])

    def daemon_place(self, name: str) -> Any:
        """Return where a daemon listens."""
        daemons = self.cluster.places.daemons
        return next(each for each in daemons if each.name == name)

    def manager_of(self, scope: str) -> str:
        """Return the daemon that says it manages a scope."""
        managers: list[str] = []
        self.wait(lambda: bool(managers) or self._find(scope, managers))
        return managers[0]

    def platform(self, **faults: float) -> None:
        """Switch faults of the store and the VM list."""
        store = self.cluster.places.store
        call(store, 'POST', '/stand-in/faults', faults)

    def wait_served(
        self,
        *services: str,
        through: Iterable[str] = (),
    ) -> float:
        """Wait until keys of services are served through daemons.

        Parameters
        ----------
        *services
            The services.
        through
            Names of daemons, all by default.

        Returns
        -------
        float
            How long it took, in seconds.
        """
        started = time.monotonic()
        names = tuple(through)
        for daemon in self.cluster.places.daemons:
            if not names or daemon.name in names:
                for service in services:
                    self._wait_keys(daemon.callers, service)
        return time.monotonic() - started

    def wait(self, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds; return how long it took in seconds.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > RECOVERY_LIMIT_S:
                folder = self.cluster.folder
                raise TimeoutError(f'not so in time; see the logs in {folder}')
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started

    def outcomes(self) -> Iterator[Outcome]:
        """Yield what callers were told, of loads that have ended."""
        for report in self.reports:
            yield from report.outcomes

    def unavailable_s(self, start: float, stop: float = float('inf')) -> float:
        """Return the longest time a key was not served in a time window.

        Parameters
        ----------
        start, stop
            The window in which requests were sent, on the monotonic clock.
        """
        sent = (each for each in self.outcomes() if start <= each.sent_s < stop)
        return max(unavailable_times(sent), default=0)

    def find(self) -> Findings:
        """Judge all that was seen, once every load has ended."""
        self.join()
        for target in self.cluster.places.targets:
            if target.name not in self.lost:
                self._record(self._read_grants(target.name))
        return Findings(
            self._judge_classes(),
            find_two_owners(self.holdings),
            tuple(self.falling_terms),
        )

    def _run_load(self, settings: LoadSettings) -> None:
        self.reports.append(anyio.run(run_load, settings))

    def _read_grants(self, name: str) -> dict[str, Any]:
        targets = self.cluster.places.targets
        address = next(each.address for each in targets if each.name == name)
        return json.loads(call(address, 'GET', '/stand-in/grants')[1])

    def _record(
        self,
        exported: dict[str, Any],
        ended_ms: float | None = None,
    ) -> None:
        self.holdings.extend(read_holdings(exported, ended_ms))
        self.falling_terms.extend(find_falling_terms(exported))

    def _find(self, scope: str, managers: list[str]) -> bool:
        for daemon in self.cluster.places.daemons:
            process = self.cluster.processes[daemon.name]
            if process.poll() is None:
                if scope in self.status(daemon.name)['scopes']:
                    managers.append(daemon.name)
        return bool(managers)

    def _wait_keys(self, address: str, service: str) -> None:
        for number in range(PROBED_KEYS):
            key = f'key-{number}'
            self.wait(lambda key=key: is_served(address, service, key))

    def _judge_classes(self) -> dict[str, Verdict]:
        journals = map(self.cluster.journal_of, self._target_names())
        started = read_journals(journals)
        verdicts: dict[str, Verdict] = {}
        for place, report in enumerate(self.reports):
            for name, counts in report.classes.items():
                told = (
                    each
                    for each in report.outcomes
                    if each.caller_class == name
                )
                verdict = judge(told, started, counts.foreign)
                verdicts[f'{name}/{place}'] = verdict
        return verdicts

    def _target_names(self) -> Iterator[str]:
        return (target.name for target in self.cluster.places.targets)


def is_served(address: str, service: str, key: str) -> bool:
    """Tell whether a key is served through a daemon."""
    headers = {
        'laburnumyard-key': key,
        'laburnumyard-deadline-ms': str(PROBE_DEADLINE_MS),
    }
    try:
        status, _ = call(address, 'GET', f'/{service}/read', headers=headers)
    except OSError:
        return False
    return status == HTTPStatus.OK
