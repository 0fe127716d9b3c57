"""What the losses of the letter cost, and how soon they are known."""

from collections.abc import Callable, Iterable

from bench.control import settings
from bench.control.calm import new_fleet, reset, show, show_traffic
from bench.control.fleet import Fleet
from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership import Identity

STEP_S = 0.1
LIMIT_S = 60
COUNTED_S = 10
CUT_S = 20
RACK_VMS = 16
LASTING_S = 30


def believe_right(fleet: Fleet) -> bool:
    """Tell whether all running daemons believe just the running ones live."""
    running = len(tuple(fleet.running()))
    return all(
        len(node.table.live()) == running
        and all(fleet.nodes[one.daemon].is_running for one in node.table.live())
        for node in fleet.running()
    )


def wait_until(fleet: Fleet, is_done: Callable[[Fleet], bool]) -> float:
    """Let time pass until something holds, and return how long it took."""
    started = fleet.clock.now
    while not is_done(fleet) and fleet.clock.now - started < LIMIT_S:
        fleet.clock.run(STEP_S)
    return fleet.clock.now - started


def measure_loss(daemons: int, name: str, lost: Iterable[DaemonName]) -> None:
    """Print how soon all know of a loss, and its traffic over 10 s."""
    fleet = new_fleet(daemons)
    reset(fleet)
    for daemon in lost:
        fleet.kill(daemon, with_vm=True)
    known_s = wait_until(fleet, believe_right)
    fleet.clock.run(max(0, COUNTED_S - known_s))
    show(f'{name}.known_to_all_s', daemons, known_s)
    show_traffic(fleet, name, max(COUNTED_S, known_s))


def measure_losses(daemons: int) -> None:
    """Print the loss of a VM, of a rack and of a data centre."""
    fleet = new_fleet(daemons)
    centre = fleet.identities[0].data_centre
    together = [
        one.daemon for one in fleet.identities if one.data_centre == centre
    ]
    measure_loss(daemons, 'vm_loss', together[:1])
    measure_loss(daemons, 'rack_loss', together[:RACK_VMS])
    measure_loss(daemons, 'data_centre_loss', together)


def cut_region(source: Identity, destination: Identity) -> bool:
    """Lose what passes between the first region and the others."""
    regions = {source.region, destination.region}
    return 'region-0' in regions and len(regions) > 1


def believe_apart(fleet: Fleet) -> bool:
    """Tell whether all believe just those live that they can reach."""
    cut_off = sum(one.region == 'region-0' for one in fleet.identities)
    reached = {True: cut_off, False: len(fleet.identities) - cut_off}
    return all(
        len(node.table.live()) == reached[node.identity.region == 'region-0']
        for node in fleet.running()
    )


def measure_region_cut(daemons: int) -> None:
    """Print how soon regions that lost each other find each other again."""
    fleet = new_fleet(daemons)
    reset(fleet)
    fleet.network.cuts.append(cut_region)
    known_s = wait_until(fleet, believe_apart)
    show('region_cut.known_to_all_s', daemons, known_s)
    fleet.clock.run(max(0, CUT_S - known_s))
    show_traffic(fleet, 'region_cut', max(CUT_S, known_s))
    reset(fleet)
    fleet.clock.run(LASTING_S)
    show_traffic(fleet, 'region_cut_lasting', LASTING_S)
    reset(fleet)
    fleet.network.cuts.clear()
    healed_s = wait_until(fleet, believe_right)
    show('region_healed.known_to_all_s', daemons, healed_s)
    show_traffic(fleet, 'region_healed', healed_s)


def measure_full_restart(daemons: int) -> None:
    """Print how soon all daemons know each other after a restart of all."""
    fleet = new_fleet(daemons)
    reset(fleet)
    for daemon in tuple(fleet.nodes):
        fleet.restart(daemon)
    known_s = wait_until(fleet, believe_right)
    show('full_restart.known_to_all_s', daemons, known_s)
    held = [version for version in fleet.in_force().values() if version]
    show('full_restart.configured_daemons', daemons, len(held))
    show('full_restart.store_calls', daemons, fleet.store.calls)
    show_traffic(fleet, 'full_restart', known_s)


def measure_all(daemons: int) -> None:
    """Print every loss, where there are regions to lose."""
    if daemons > settings.LARGEST_SMALL:
        measure_losses(daemons)
        measure_region_cut(daemons)
        measure_full_restart(daemons)
