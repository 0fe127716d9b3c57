"""Control cost of real daemons without load: processor time and memory."""

import sys
import tempfile
import time
from pathlib import Path

import psutil

from standins.cluster import Cluster, ClusterPlan, ServiceShape, running

DAEMON_COUNTS = (3, 9, 27)
SETTLE_S = 5
MEASURE_S = 10
TARGETS = 9
BYTES_PER_MB = 1_000_000


def measure(daemons: int, folder: Path) -> tuple[float, float]:
    """Return processor share and memory in MB, each the mean of a daemon."""
    plan = ClusterPlan(
        services=(ServiceShape('catalogue', TARGETS),),
        daemons=daemons,
    )
    with running(Cluster(plan, folder)) as cluster:
        processes = [
            psutil.Process(cluster.processes[place.name].pid)
            for place in cluster.places.daemons
        ]
        time.sleep(SETTLE_S)
        before = sum(map(busy_seconds, processes))
        time.sleep(MEASURE_S)
        after = sum(map(busy_seconds, processes))
        memory = sum(each.memory_info().rss for each in processes)
    share = (after - before) / MEASURE_S / daemons
    return share, memory / daemons / BYTES_PER_MB


def busy_seconds(process: psutil.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = process.cpu_times()
    return times.user + times.system


def main() -> None:
    """Print one line for each figure and fleet size."""
    for daemons in DAEMON_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            share, memory = measure(daemons, Path(folder))
        sys.stdout.write(f'idle.daemons_{daemons}.core_percent={share:.2%}\n')
        sys.stdout.write(f'idle.daemons_{daemons}.rss_mb={memory:.1f}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
