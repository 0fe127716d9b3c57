"""A small deployment as separate processes on loopback."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from http import HTTPStatus
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from standins._cluster_files import (
    OPERATOR_TOKEN,
    ClusterPlan,
    Places,
    ServiceShape,
    choose_places,
    daemon_settings,
    objects,
    vm_list,
)

__all__ = ('OPERATOR_TOKEN', 'Cluster', 'ClusterPlan', 'ServiceShape')

START_TIMEOUT_S = 12
STOP_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 5


class Cluster:
    """Processes of one deployment: platform, targets and daemons.

    Parameters
    ----------
    plan
        The sizes.
    folder
        Where settings and logs are written.
    program
        The command that starts the product.
    """

    def __init__(
        self,
        plan: ClusterPlan,
        folder: Path,
        program: tuple[str, ...] = (sys.executable, '-m', 'laburnumyard'),
    ) -> None:
        """Choose addresses and write the files."""
        self.plan = plan
        self.folder = folder
        self.program = program
        self.places: Places = choose_places(plan)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.objects_file = folder / 'objects.toml'
        self._write_files()

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """The callers' addresses of all daemons."""
        return tuple(daemon.callers for daemon in self.places.daemons)

    def start(self) -> None:
        """Start everything, publish the objects and wait for readiness."""
        self.start_platform()
        for target in self.places.targets:
            self.start_target(target.name)
        for daemon in self.places.daemons:
            self.start_daemon(daemon.name)
        for daemon in self.places.daemons:
            self.wait_answering(daemon.admin, '/health')
        self.publish()
        self.wait_ready()

    def start_platform(self) -> None:
        """Start the stand-in of the store and the VM list."""
        store = self.places.store
        vms = str(self.folder / 'vms.json')
        self.spawn('platform', _stand_in('platform', listen=store, vms=vms))
        self.wait_answering(store, '/v1/vms')

    def start_target(self, name: str) -> None:
        """Start one target."""
        target = next(each for each in self.places.targets if each.name == name)
        command = _stand_in(
            'target',
            listen=target.address,
            name=name,
            service=target.service.name,
            slots=target.service.slots,
            fencing=target.service.fencing,
            journal=self.journal_of(name),
            work_ms=target.service.work_ms,
        )
        self.spawn(name, command)

    def journal_of(self, name: str) -> Path:
        """Return the file in which a target notes what it starts to run."""
        return self.folder / f'{name}.journal'

    def start_daemon(self, name: str) -> None:
        """Start one daemon."""
        settings = str(self.folder / f'{name}.toml')
        self.spawn(name, (*self.program, 'daemon', settings))

    def spawn(
        self,
        name: str,
        command: tuple[str, ...],
        environment: Mapping[str, str] = os.environ,
    ) -> None:
        """Start a process whose output goes to a file of its name."""
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def publish(self, base: int = 0) -> None:
        """Publish the objects with the operators' command line."""
        self.operate(
            'publish',
            str(self.objects_file),
            f'--base={base}',
            '--author=demo',
            '--note=demo',
        )

    def operate(self, *arguments: str) -> str:
        """Run one operators' command and return what it printed."""
        command = (*self.program, *arguments, f'--store={self.places.store}')
        done = subprocess.run(command, capture_output=True, text=True)
        if done.returncode:
            raise RuntimeError(f'{command}: {done.stdout}{done.stderr}')
        return done.stdout

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and every range is granted."""
        for daemon in self.places.daemons:
            self.wait_answering(daemon.admin, '/ready')

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Freeze a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Ask a process to leave; return its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(START_TIMEOUT_S)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)

    def wait_answering(self, address: str, path: str) -> None:
        """Wait until a process answers a GET with success."""
        self.wait(lambda: is_answering(address, path))

    def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        give_up = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > give_up:
                raise TimeoutError(f'see the logs in {self.folder}')
            time.sleep(POLL_INTERVAL_S)

    def _write_files(self) -> None:
        self.objects_file.write_text(objects(self.plan, self.places))
        vms = vm_list(self.plan, self.places)
        (self.folder / 'vms.json').write_text(vms)
        for daemon in self.places.daemons:
            text = daemon_settings(self.plan, self.places, daemon)
            (self.folder / f'{daemon.name}.toml').write_text(text)


@contextmanager
def running(cluster: Cluster) -> Iterator[Cluster]:
    """Start a cluster and end its processes afterwards."""
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


def is_answering(address: str, path: str) -> bool:
    """Tell whether a process answers a GET with success."""
    try:
        return call(address, 'GET', path)[0] == HTTPStatus.OK
    except OSError:
        return False


def call(
    address: str,
    method: str,
    path: str,
    message: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Make one HTTP call and return status and body."""
    connection = HTTPConnection(address, timeout=HTTP_TIMEOUT_S)
    body = None if message is None else json.dumps(message)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def _stand_in(program: str, **options: object) -> tuple[str, ...]:
    flags = (f'--{option}={options[option]}' for option in options)
    return (sys.executable, '-m', f'standins.{program}', *flags)
