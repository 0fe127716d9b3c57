"""What one daemon carries beside the bare target, on loopback.

Run with ``python -m bench.entry``. The target, two daemons, the platform and
the load are processes of their own. ``vm-1`` dispatches to the target; a
request to ``vm-2`` takes one hop to ``vm-1``.
"""

import os
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from functools import partial
from pathlib import Path

import fire

from standins.cluster import Cluster, ClusterPlan, ServiceShape, running

CONNECTIONS = 20
# Any place: the only target owns the whole hash space.
KEY_HASH = 7
US_PER_S = 1_000_000
# Places in /proc/PID/stat after the name of the process.
USER_TICKS = 11
CHILD_TICKS = 13
WARM_UP_S = 1
# 1.9 million requests/s over 690 daemons.
RATE_PER_DAEMON = 2754
P99_LIMIT_MS = 19
STEADY_S = 10
STEADY_LOAD = 'bench.steady_load'
Figures = Mapping[str, float]


def plan_cluster(decisions: bool) -> ClusterPlan:
    """Return one target that takes every connection at once."""
    shape = ServiceShape('catalogue', targets=1, slots=CONNECTIONS, work_ms=0)
    log = () if decisions else ('[log]', 'decisions = false')
    return ClusterPlan(
        (shape,),
        daemons=2,
        data_centres=('lima-a', 'lima-b'),
        limits=log,
    )


def measure(
    address: str,
    duration_s: float,
    rate: float = 0,
    key: str = '',
    program: str = 'standins.load',
    key_hash: int | None = None,
) -> Figures:
    """Send a load from another process and return its figures.

    A bare target is sent a hash in place of a key.
    """
    options = {
        'addresses': address,
        'connections': CONNECTIONS,
        'duration_s': duration_s,
        'rate': rate,
        'path': '/catalogue/read',
    }
    if key_hash is not None:
        options['key_hash'] = key_hash
    if key:
        options |= {'key_prefix': key, 'keys': 1}
    flags = [f'--{name}={options[name]}' for name in options]
    command = (sys.executable, '-m', program, *flags)
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    pairs = (line.partition('=') for line in done.stdout.splitlines())
    return {name: float(figure) for name, _, figure in pairs}


def print_figure(name: str, figure: float) -> None:
    """Print one name=value line."""
    sys.stdout.write(f'{name}={figure:.3f}\n')


def check_whole(name: str, figures: Figures) -> None:
    """Print how many requests got no whole answer."""
    lost = figures['callers.sent'] - figures['callers.whole']
    print_figure(f'{name}.not_whole', lost)


def processor_s(cluster: Cluster) -> float:
    """Return the processor time of all daemons so far, in seconds."""
    ticks = 0
    for daemon in cluster.places.daemons:
        pid = cluster.processes[daemon.name].pid
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        ticks += sum(map(int, fields.split()[USER_TICKS:CHILD_TICKS]))
    return ticks / os.sysconf('SC_CLK_TCK')


def compare(
    name: str, cluster: Cluster, address: str, duration_s: float
) -> None:
    """Measure one way to the target and the bare target beside it."""
    target = cluster.places.targets[0].address
    # Daemons that have just started are still busy with each other.
    measure(address, WARM_UP_S)
    bare = measure(target, duration_s, key_hash=KEY_HASH)
    spent_s = processor_s(cluster)
    routed = measure(address, duration_s)
    spent_s = processor_s(cluster) - spent_s
    spent_us = spent_s * US_PER_S / routed['callers.sent']
    print_figure(f'{name}.processor_us', spent_us)
    limit = routed['callers.whole_per_s']
    print_figure(f'{name}.bare_per_s', bare['callers.whole_per_s'])
    print_figure(f'{name}.per_s', limit)
    print_figure(f'{name}.ratio', limit / bare['callers.whole_per_s'])
    print_figure(f'{name}.p50_ms', routed['callers.p50_ms'])
    print_figure(f'{name}.p99_ms', routed['callers.p99_ms'])
    check_whole(name, routed)
    half = limit / 2
    bare = measure(target, duration_s, half, key_hash=KEY_HASH)
    routed = measure(address, duration_s, half)
    added = routed['callers.p50_ms'] - bare['callers.p50_ms']
    print_figure(f'{name}.half_load_per_s', routed['callers.whole_per_s'])
    print_figure(f'{name}.half_load_p50_ms', routed['callers.p50_ms'])
    print_figure(f'{name}.half_load_p99_ms', routed['callers.p99_ms'])
    print_figure(f'{name}.half_load_bare_p99_ms', bare['callers.p99_ms'])
    print_figure(f'{name}.added_median_ms', added)
    check_whole(f'{name}.half_load', routed)


def steady(cluster: Cluster, address: str, duration_s: float) -> None:
    """Measure the way over a hop at the rate of the size to design for."""
    target = cluster.places.targets[0].address
    send = partial(
        measure,
        duration_s=duration_s,
        rate=RATE_PER_DAEMON,
        program=STEADY_LOAD,
    )
    bare = send(target, key_hash=KEY_HASH)
    routed = send(address)
    print_figure('hop_steady.per_s', routed['callers.whole_per_s'])
    for name in ('p50_ms', 'p99_ms', 'p99.9_ms'):
        print_figure(f'hop_steady.{name}', routed[f'callers.{name}'])
        print_figure(f'hop_steady.bare_{name}', bare[f'callers.{name}'])
    print_figure('hop_steady.p99_limit_ms', P99_LIMIT_MS)
    check_whole('hop_steady', routed)


def main(
    duration_s: float = 4,
    decisions: bool = True,
    hop: bool = True,
    steady_s: float = STEADY_S,
) -> None:
    """Print the figures of the daemon and, with a hop, of two daemons.

    Parameters
    ----------
    duration_s
        The length of each of the measurements, in seconds.
    decisions
        Whether the daemons log each routing decision.
    hop
        Whether the way over two daemons is measured, too.
    steady_s
        The length of the steady load over a hop, in seconds.
    """
    print_figure('load_average_start', os.getloadavg()[0])
    with tempfile.TemporaryDirectory() as folder:
        with running(Cluster(plan_cluster(decisions), Path(folder))) as cluster:
            near, far = cluster.caller_addresses
            compare('entry', cluster, near, duration_s)
            if hop:
                compare('hop', cluster, far, duration_s)
                steady(cluster, far, steady_s)
    print_figure('load_average_end', os.getloadavg()[0])


if __name__ == '__main__':
    fire.Fire(main)
