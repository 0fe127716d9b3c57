"""Gateway processes on loopback addresses, with the deploy file's command."""

import os
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# As on the users' pages for a small deployment.
BOUNDS = {
    'seedLagS': '3',
    'reuseAfterS': '2',
    'stabilityWindowMs': '3000',
    'ackMs': '4000',
    'catchUpS': '4',
    'drain_ms': '2000',
    'grace_s': '6',
    'lossSlackMs': '200',
    'configApplyMs': '2000',
    'rollbackSlackMs': '250',
    'maxStretchMs': '5000',
    'retry_ratio': '0.2',
    'retry_window_s': '10',
    'retry_allowance': '56',
    'recoveryS': '15',
    'hold_max_ms': '10000',
    'thawMs': '300',
}


def free_port(hosts: list[str]) -> int:
    """Return a port that is free on all hosts, with the next two.

    It is below the ports that the system gives to outgoing connections.
    """
    first = random.randrange(21_000, 31_000, 3)
    for port in range(first, 31_900, 3):
        held = []
        try:
            for host in hosts:
                for each in (port, port + 1, port + 2):
                    listener = socket.socket()
                    held.append(listener)
                    listener.bind((host, each))
        except OSError:
            continue
        finally:
            for listener in held:
                listener.close()
        return port
    raise OSError('no free port')


def command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return deploy['roles']['gateway']['run'].split()


def fill_in(template: str, fields: dict[str, str]) -> str:
    """Fill in the settings template of the deploy file."""
    bounds = '\n'.join(f'{name} = {text}' for name, text in BOUNDS.items())
    text = re.sub(
        r'\{\{#bounds\}\}.*\{\{/bounds\}\}', bounds, template, flags=re.S
    )
    text = re.sub(r'\{\{([\w.]+)\|json\}\}', lambda m: fields[m[1]], text)
    if '{{' in text:
        raise ValueError('the template has other placeholders')
    return text


class Machine:
    """One machine with a gateway process."""

    def __init__(
        self,
        name: str,
        host: str,
        ports: tuple[int, int, int],
        store: str,
        seeds: list[str],
        folder: Path,
        cores: float = 0.86,
    ) -> None:
        self.name = name
        self.callers = f'{host}:{ports[0]}'
        self.ready = f'{host}:{ports[1]}'
        self.peers = f'{host}:{ports[2]}'
        self.log = folder / f'{name}.log'
        self.settings = folder / f'{name}.toml'
        template = (ROOT / 'deploy/gateway.toml').read_text()
        quoted = ', '.join(f'"{seed}"' for seed in seeds)
        fields = {
            'nodeName': f'"{name}"',
            'zone': '"zone-a"',
            'region': '"region"',
            'listen.front': f'"{self.callers}"',
            'listen.ready': f'"{self.ready}"',
            'listen.controlPlane': f'"{self.peers}"',
            'platform.address': f'"{store}"',
            'limits.cpuFraction': str(cores),
            'seeds': f'[{quoted}]',
        }
        self.settings.write_text(fill_in(template, fields))
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['LABURNUMYARD_CONFIG'] = str(self.settings)
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                command(), cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None or not self.is_running:
            return 0
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+) kB', status)
        return int(found[1]) / 1024 if found else 0


class Record:
    """Notes of what was sent, answered and run, with times."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def note(self, kind: str, **fields: object) -> None:
        at = time.monotonic() - self.started
        shown = ' '.join(f'{name}={text}' for name, text in fields.items())
        self.lines.append(f'{at:8.3f} {kind} {shown}')

    def write(self) -> None:
        self.path.write_text('\n'.join(self.lines) + '\n')
