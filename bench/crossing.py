"""Two daemons that are each other's entry and dispatcher, on loopback.

Run with ``python -m bench.crossing``. Every request takes one hop, and each
daemon takes in the whole rate of the size to design for and dispatches as
much for the other: what each of many daemons does. Targets, daemons, platform
and the two loads are processes of their own.
"""

import json
import os
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import count
from pathlib import Path
from urllib.parse import urlencode
from urllib.request import urlopen

import fire

from bench import entry
from bench.steady_load import LEFT_OUT_S
from standins.cluster import Cluster, ClusterPlan, ServiceShape, running

SERVICE = 'catalogue'
TIMEOUT_S = 5


def plan_cluster() -> ClusterPlan:
    """Return a target and a daemon in each of two data centres."""
    shape = ServiceShape(SERVICE, targets=2, slots=entry.CONNECTIONS, work_ms=0)
    return ClusterPlan((shape,), daemons=2, data_centres=('lima-a', 'lima-b'))


@dataclass(frozen=True, slots=True)
class FarKey:
    """A key that another daemon dispatches, and its owner."""

    prefix: str
    key_hash: int
    target: str


def far_key(admin: str, name: str) -> FarKey:
    """Return a key that another daemon dispatches.

    Parameters
    ----------
    admin, name
        The admin address and the name of the daemon that is asked.
    """
    for prefix in map('cross-{}-'.format, count()):
        # The load's only key.
        query = urlencode({'service': SERVICE, 'key': f'{prefix}0'})
        url = f'http://{admin}/owner?{query}'
        with urlopen(url, timeout=TIMEOUT_S) as answer:
            found = json.load(answer)
        if found['dispatcher'] != name:
            return FarKey(prefix, found['key_hash'], found['target'])
    raise AssertionError('numbers do not end')


def worst(figures: Sequence[entry.Figures], name: str) -> float:
    """Return the largest of a figure of both loads."""
    return max(each[f'callers.{name}'] for each in figures)


def cross(cluster: Cluster, duration_s: float) -> None:
    """Send both loads at once, first to the bare targets."""
    daemons = cluster.places.daemons
    keys = [far_key(each.admin, each.name) for each in daemons]
    targets = {each.name: each.address for each in cluster.places.targets}
    for address, key in zip(cluster.caller_addresses, keys, strict=True):
        entry.measure(address, entry.WARM_UP_S, key=key.prefix)
    send = partial(
        entry.measure,
        duration_s=duration_s,
        rate=entry.RATE_PER_DAEMON,
        program=entry.STEADY_LOAD,
    )
    with ThreadPoolExecutor() as pool:
        sending = [
            pool.submit(send, targets[key.target], key_hash=key.key_hash)
            for key in keys
        ]
        bare = [each.result() for each in sending]
        spent_s = entry.processor_s(cluster)
        sending = [
            pool.submit(send, address, key=key.prefix)
            for address, key in zip(cluster.caller_addresses, keys, strict=True)
        ]
        routed = [each.result() for each in sending]
    spent_s = entry.processor_s(cluster) - spent_s
    per_s = [each['callers.whole_per_s'] for each in routed]
    cores = spent_s / (duration_s + LEFT_OUT_S) / len(daemons)
    spent_us = cores * entry.US_PER_S / entry.RATE_PER_DAEMON
    entry.print_figure('crossing.per_s_each', min(per_s))
    entry.print_figure('crossing.processor_us', spent_us)
    entry.print_figure('crossing.cores_each', cores)
    for name in ('p50_ms', 'p99_ms', 'p99.9_ms'):
        entry.print_figure(f'crossing.{name}', worst(routed, name))
        entry.print_figure(f'crossing.bare_{name}', worst(bare, name))
    entry.print_figure('crossing.p99_limit_ms', entry.P99_LIMIT_MS)
    for each in routed:
        entry.check_whole('crossing', each)


def main(duration_s: float = entry.STEADY_S) -> None:
    """Print the tail and the cost of the rate of the size to design for.

    Parameters
    ----------
    duration_s
        The length of the load, in seconds.
    """
    entry.print_figure('load_average_start', os.getloadavg()[0])
    with tempfile.TemporaryDirectory() as folder:
        with running(Cluster(plan_cluster(), Path(folder))) as cluster:
            cross(cluster, duration_s)
    entry.print_figure('load_average_end', os.getloadavg()[0])


if __name__ == '__main__':
    fire.Fire(main)
