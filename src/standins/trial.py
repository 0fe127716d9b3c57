"""A deployment under load and faults, judged by outside observers."""

import json
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from http import HTTPStatus
from typing import Any

import anyio

from standins._findings import Findings, GrantRecord, judge_classes
from standins._load_report import LoadReport, Outcome
from standins._load_run import run_load
from standins._load_settings import CallerClass, LoadSettings
from standins.cluster import Cluster, call
from standins.observer import unavailable_times
from standins.owners import find_concurrent_runs, find_two_owners

RECOVERY_LIMIT_S = 15
POLL_INTERVAL_S = 0.05
CALLER_TIMEOUT_S = 3
PROBED_KEYS = 12
PROBE_DEADLINE_MS = 1000
NEVER_S = float('inf')


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
        self.grants = GrantRecord(cluster)

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
        self.grants.read(name)
        self.cluster.kill(name)
        self.grants.note_end(name)

    def note_dead_target(self, name: str) -> None:
        """Note that a target has ended by itself."""
        self.cluster.processes[name].wait()
        self.grants.note_end(name)

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

    def unavailable_s(self, start: float, stop: float = NEVER_S) -> float:
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
        self.grants.read_all()
        return Findings(
            judge_classes(self.cluster, self.reports),
            find_two_owners(self.grants.holdings()),
            tuple(self.grants.falling_terms()),
            find_concurrent_runs(self.grants.unfenced_runs()),
        )

    def _run_load(self, settings: LoadSettings) -> None:
        self.reports.append(anyio.run(run_load, settings))

    def _find(self, scope: str, managers: list[str]) -> bool:
        for daemon in self.cluster.places.daemons:
            process = self.cluster.processes[daemon.name]
            if process.poll() is None:
                if scope in self.status(daemon.name)['scopes']:
                    managers.append(daemon.name)
        return bool(managers)

    def _wait_keys(self, address: str, service: str) -> None:
        keys = (f'key-{number}' for number in range(PROBED_KEYS))
        waiting = deque(keys)
        while waiting:
            self.wait(partial(is_served, address, service, waiting.popleft()))


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
