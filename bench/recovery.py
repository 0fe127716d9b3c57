"""How long keys are unavailable after each fault, seen by callers.

``python -m bench.recovery [FAULT...]`` starts a small deployment of real
processes for each fault and prints ``name=value`` lines. A key is unavailable
from the sending of a request that fails or takes over 0.25 s to the next whole
answer for that key. Exits 1 if an invariant broke.
"""

import os
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import MappingProxyType

from standins.cluster import ClusterPlan, ServiceShape, running
from standins.load import CallerClass
from standins.relayed_cluster import RelayedCluster
from standins.trial import Trial

SERVICE = 'catalogue'
SCOPE = 'catalogue/lima-a'
TARGET = 'catalogue-2'
DAEMON = 'vm-2'
DATA_CENTRE = 'lima-b'
KEYS = 40
RATE_PER_S = 400
ORDER_RATE_PER_S = 30
QUIET_S = 1
HOLD_S = 4
STORE_DOWN_S = 10
AFTER_S = 4
SLOW_MS = 400

PLAN = ClusterPlan(
    services=(ServiceShape(SERVICE, 9), ServiceShape('orders', 6)),
)


def hold(seconds: float = HOLD_S) -> None:
    """Let a fault last."""
    time.sleep(seconds)


def kill_target(trial: Trial) -> None:
    """Kill a target."""
    trial.kill_target(TARGET)


def freeze_target(trial: Trial) -> None:
    """Freeze a target past its grant, then let it return."""
    trial.cluster.pause(TARGET)
    hold()
    trial.cluster.resume(TARGET)


def kill_daemon(trial: Trial) -> None:
    """Kill a daemon that does not manage the scope."""
    manager = trial.manager_of(SCOPE)
    names = [each.name for each in trial.cluster.places.daemons]
    trial.cluster.kill(next(name for name in names if name != manager))


def kill_manager(trial: Trial) -> None:
    """Kill the daemon that manages the scope."""
    trial.cluster.kill(trial.manager_of(SCOPE))


def pause_daemon(trial: Trial) -> None:
    """Pause the daemon that manages the scope past its lease."""
    manager = trial.manager_of(SCOPE)
    trial.cluster.pause(manager)
    hold()
    trial.cluster.resume(manager)


def kill_data_centre(trial: Trial) -> None:
    """Kill the daemon and all targets of a data centre."""
    places = trial.cluster.places
    for target in places.targets:
        if target.data_centre == DATA_CENTRE:
            trial.kill_target(target.name)
    for daemon in places.daemons:
        if daemon.data_centre == DATA_CENTRE:
            trial.cluster.kill(daemon.name)


def stop_store(trial: Trial) -> None:
    """Have the store down for 10 s."""
    trial.platform(down=True)
    hold(STORE_DOWN_S)
    trial.platform(down=False)


def slow_store(trial: Trial) -> None:
    """Kill a target while each call to the store takes longer."""
    trial.platform(delay_ms=SLOW_MS)
    trial.kill_target(TARGET)
    hold()
    trial.platform(delay_ms=0)


def cut_links(trial: Trial) -> None:
    """Cut a daemon off from the others, both ways."""
    relays = trial.cluster.relays
    relays.cut(relays.directions_of(DAEMON))
    hold()
    relays.heal()


def cut_one_way(trial: Trial) -> None:
    """Have nothing of what a daemon sends reach the others."""
    relays = trial.cluster.relays
    relays.cut(
        each for each in relays.directions_of(DAEMON) if each.sender == DAEMON
    )
    hold()
    relays.heal()


def leave(trial: Trial) -> None:
    """Have a daemon leave in good order."""
    trial.cluster.terminate(DAEMON)


FAULTS: MappingProxyType[str, Callable[[Trial], None]] = MappingProxyType(
    {
        'target_killed': kill_target,
        'target_frozen': freeze_target,
        'daemon_killed': kill_daemon,
        'manager_killed': kill_manager,
        'manager_paused': pause_daemon,
        'data_centre_killed': kill_data_centre,
        'store_down_10_s': stop_store,
        'store_slow_target_killed': slow_store,
        'daemon_cut_both_ways': cut_links,
        'daemon_cut_one_way': cut_one_way,
        'daemon_left': leave,
    },
)


def callers(duration_s: float) -> tuple[CallerClass, ...]:
    """Return readers whose keys are judged, and orders beside them."""
    return (
        CallerClass(
            name='readers',
            connections=24,
            rate=RATE_PER_S,
            duration_s=duration_s,
            keys=KEYS,
        ),
        CallerClass(
            name='orders',
            path='/orders/confirm',
            method='POST',
            connections=12,
            rate=ORDER_RATE_PER_S,
            duration_s=duration_s,
            keys=KEYS,
            tickets=True,
        ),
    )


def measure(trial: Trial, fault: str) -> Iterator[str]:
    """Load a deployment, let a fault happen and yield the lines."""
    held_s = STORE_DOWN_S if fault == 'store_down_10_s' else HOLD_S
    trial.wait_served(SERVICE, 'orders')
    trial.send(*callers(QUIET_S + held_s + AFTER_S))
    hold(QUIET_S)
    FAULTS[fault](trial)
    findings = trial.find()
    readers = findings.verdicts['readers/0']
    orders = findings.verdicts['orders/0']
    yield f'recovery.{fault}.unavailable_s={readers.unavailable_s:.2f}'
    yield f'recovery.{fault}.readers_whole={readers.whole}'
    yield f'recovery.{fault}.readers_not_run={readers.not_run}'
    yield f'recovery.{fault}.readers_unknown={readers.unknown}'
    yield f'recovery.{fault}.orders_unknown={orders.unknown}'
    problems = tuple(findings.problems())
    yield f'recovery.{fault}.invariants_broken={len(problems)}'
    yield from (f'# {problem}' for problem in problems)


def run(fault: str) -> tuple[str, ...]:
    """Run one fault in a deployment of its own."""
    with tempfile.TemporaryDirectory() as folder:
        with running(RelayedCluster(PLAN, Path(folder))) as cluster:
            return tuple(measure(Trial(cluster), fault))


def main() -> None:
    """Run the named faults, or all."""
    is_broken = False
    for fault in tuple(sys.argv[1:]) or FAULTS:
        lines = run(fault)
        is_broken |= any(line.startswith('# ') for line in lines)
        load = os.getloadavg()[0]
        figures = (*lines, f'recovery.{fault}.machine_load={load:.1f}', '')
        sys.stdout.write('\n'.join(figures))
        sys.stdout.flush()
    sys.exit(is_broken)


if __name__ == '__main__':
    main()
