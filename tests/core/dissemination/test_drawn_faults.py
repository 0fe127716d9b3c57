from random import Random

import pytest

from bench.control.fleet import Fleet
from bench.control.layout import Layout
from tests.core.dissemination.conftest import (
    check_never_falls,
    publish,
    wait_until_in_force,
)
from tests.core.membership.conftest import check_all_live

SMALL = Layout(regions=(2, 2), daemons=12)
EVEN = 0.5
SELDOM = 0.7
FAULTS_S = 40
CONVERGED_S = 20
CENTRES = ('centre-0-0', 'centre-0-1', 'centre-1-0', 'centre-1-1')


def happens(draw, bound):
    return draw.random() > bound


def kill_and_start(fleet, draw):
    """Kill a process, and restart it after a random delay."""
    daemon = draw.choice(sorted(fleet.nodes))
    fleet.kill(daemon, with_vm=happens(draw, EVEN))
    fleet.clock.call_in(draw.uniform(0, 10), lambda: fleet.restart(daemon))


def pause(fleet, draw):
    daemon = draw.choice(sorted(fleet.nodes))
    if not fleet.nodes[daemon].is_paused:
        fleet.pause(daemon, draw.uniform(0.1, 10))


def cut(fleet, draw):
    """Partition a data centre, one way or both, for a random time."""
    centre = draw.choice(CENTRES)
    is_one_way = happens(draw, EVEN)

    def drops(source, destination):
        if is_one_way:
            return source.data_centre == centre != destination.data_centre
        return (source.data_centre == centre) != (
            destination.data_centre == centre
        )

    fleet.network.cuts.append(drops)
    repair_after_s = draw.uniform(1, 15)
    fleet.clock.call_in(
        repair_after_s, lambda: fleet.network.cuts.remove(drops)
    )


def lose_messages(fleet, draw):
    fleet.network.loss = draw.choice([0, 0.1, 0.3])


def lose_track(fleet, draw):
    fleet.lose_track(draw.choice(sorted(fleet.nodes)))


def change_store(fleet, draw):
    fleet.store.is_down = happens(draw, EVEN)
    fleet.store.answer_s = draw.choice([0.003, 0.5, 2])


def cut_from_store(fleet, draw):
    daemons = sorted(fleet.nodes)
    fleet.cut_from_store = set(draw.sample(daemons, draw.randrange(6)))


def change_list(fleet, draw):
    fleet.platform.is_reachable = happens(draw, EVEN)


FAULTS = (
    kill_and_start,
    pause,
    cut,
    lose_messages,
    lose_track,
    change_store,
    cut_from_store,
    change_list,
)


def run_faults(seed):
    """Run random faults and publications, then end all faults."""
    draw = Random(seed)
    fleet = Fleet(SMALL, seed=seed)
    publish(fleet, 1)
    fleet.start_warm()
    fleet.clock.run(2)
    version = 1
    for _ in range(FAULTS_S):
        draw.choice(FAULTS)(fleet, draw)
        if happens(draw, SELDOM):
            version += 1
            publish(fleet, version)
        fleet.clock.run(1)
        check_never_falls(fleet)
    end_faults(fleet)
    return fleet, version


def end_faults(fleet):
    """End every fault, including those scheduled to end later."""
    fleet.clock.run(16)
    fleet.network.cuts.clear()
    fleet.network.loss = 0
    fleet.store.is_down = False
    fleet.store.answer_s = 0.003
    fleet.cut_from_store = set()
    fleet.platform.is_reachable = True


@pytest.mark.parametrize('seed', (*range(16), 77, 163))
def test_drawn_faults_end_in_one_view_and_the_newest_version(seed):
    fleet, version = run_faults(seed)
    wait_until_in_force(fleet, version)
    fleet.clock.run(CONVERGED_S)
    check_all_live(fleet)
    check_never_falls(fleet)
