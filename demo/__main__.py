"""Lima's catalogue and orders under load, with a lost target and daemon."""

import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import anyio

from standins.cluster import Cluster, ClusterPlan, ServiceShape, running
from standins.load import CallerClass, LoadReport, LoadSettings, run_load
from standins.observer import Verdict, judge, read_journals

LOAD_S = 14
TARGET_LOST_AT_S = 4
DAEMON_LOST_AT_S = 9
LOST_TARGET = 'catalogue-2'
LOST_DAEMON = 'vm-3'
UNAVAILABLE_LIMIT_S = 2.0
KEYS = 40

PLAN = ClusterPlan(
    services=(ServiceShape('catalogue', 9), ServiceShape('orders', 6)),
)
# Connections, requests per second and seconds of each class of callers.
CALLERS = (
    CallerClass(
        name='catalogue',
        connections=24,
        rate=300,
        duration_s=LOAD_S,
        keys=KEYS,
    ),
    CallerClass(
        name='orders',
        path='/orders/confirm',
        method='POST',
        connections=12,
        rate=40,
        duration_s=LOAD_S,
        keys=KEYS,
        body_bytes=200,
        tickets=True,
    ),
    CallerClass(
        name='clinic',
        customer='clinic',
        token='clinic',
        connections=16,
        rate=600,
        start_s=2,
        duration_s=3,
        keys=KEYS,
    ),
)


async def lose(cluster: Cluster) -> None:
    """Kill a target and a daemon while the load runs."""
    await anyio.sleep(TARGET_LOST_AT_S)
    cluster.kill(LOST_TARGET)
    await anyio.sleep(DAEMON_LOST_AT_S - TARGET_LOST_AT_S)
    cluster.kill(LOST_DAEMON)


async def send(cluster: Cluster) -> LoadReport:
    """Send the load through all daemons."""
    settings = LoadSettings(
        cluster.caller_addresses,
        CALLERS,
        keep_outcomes=True,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lose, cluster)
        return await run_load(settings)


def problems(verdicts: dict[str, Verdict]) -> Iterator[str]:
    """Yield each invariant that did not hold."""
    for name, verdict in verdicts.items():
        if verdict.foreign:
            yield f'{name}: {verdict.foreign} answers were not whole or foreign'
        if verdict.most_runs > 1:
            yield f'{name}: an order ran {verdict.most_runs} times'
        if verdict.false_not_run:
            yield f'{name}: {verdict.false_not_run} ran despite not-run'
        if verdict.unavailable_s > UNAVAILABLE_LIMIT_S:
            yield f'{name}: a key was unavailable {verdict.unavailable_s:.2f} s'


def table(verdicts: dict[str, Verdict]) -> Iterator[str]:
    """Yield the lines of the table."""
    heads = ('sent', 'whole', 'not run', 'unknown', 'runs/order', 'unavail. s')
    yield ' '.join(f'{head:>11}' for head in ('callers', *heads))
    for name, verdict in verdicts.items():
        cells = (
            name,
            verdict.sent,
            verdict.whole,
            verdict.not_run,
            verdict.unknown,
            verdict.most_runs,
            f'{verdict.unavailable_s:.2f}',
        )
        yield ' '.join(f'{cell:>11}' for cell in cells)


def examine(cluster: Cluster, report: LoadReport) -> dict[str, Verdict]:
    """Judge each class of callers against the targets' journals."""
    journals = (
        cluster.journal_of(each.name) for each in cluster.places.targets
    )
    started = read_journals(journals)
    return {
        name: judge(
            (each for each in report.outcomes if each.caller_class == name),
            started,
            counts.foreign,
        )
        for name, counts in report.classes.items()
    }


def main() -> None:
    """Run the demonstration; exit 1 if an invariant did not hold."""
    with tempfile.TemporaryDirectory() as folder:
        with running(Cluster(PLAN, Path(folder))) as cluster:
            report = anyio.run(send, cluster)
            verdicts = examine(cluster, report)
    lines = [
        f'killed {LOST_TARGET} at {TARGET_LOST_AT_S} s, '
        f'{LOST_DAEMON} at {DAEMON_LOST_AT_S} s of {LOAD_S} s',
        *table(verdicts),
    ]
    broken = [f'BROKEN {problem}' for problem in problems(verdicts)]
    lines.extend(broken or ['all invariants held'])
    sys.stdout.write('\n'.join((*lines, '')))
    sys.exit(bool(broken))


if __name__ == '__main__':
    main()
