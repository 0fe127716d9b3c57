"""What control costs while nothing happens, and for one change."""

import tracemalloc

from bench.control import settings
from bench.control.fleet import CONFIG, Fleet
from bench.control.layout import Layout
from bench.control.network import Traffic
from bench.control.store import make_document
from laburnumyard.core.dissemination import DocumentName
from laburnumyard.core.membership import ManagedScopesChanged, Scope

KIB = 1024
FETCH_KINDS = ('FetchDocument', 'DocumentPart')


def show(name: str, daemons: int, figure: float) -> None:
    """Print one figure."""
    print(f'control.{name}.{daemons}={figure:.2f}')


def layout_of(daemons: int) -> Layout:
    """Return where so many daemons run."""
    if daemons <= settings.LARGEST_SMALL:
        return Layout(settings.SMALL_REGIONS, daemons)
    return Layout(settings.LETTER_REGIONS, daemons)


def new_fleet(daemons: int) -> Fleet:
    """Return daemons that hold the documents of ten services."""
    fleet = Fleet(layout_of(daemons), settings.SEED, measures=True)
    services = tuple(
        DocumentName(f'assignment/service-{number}')
        for number in range(settings.SERVICES)
    )
    fleet.names = (CONFIG, *services)
    for name in fleet.names:
        fleet.store.put(make_document(name, 1, (b'first',)))
    fleet.start_warm()
    hold_scopes(fleet)
    fleet.clock.run(settings.WARM_UP_S)
    return fleet


def hold_scopes(fleet: Fleet) -> None:
    """Have each service's lease manager of each data centre hold its scope."""
    table = next(iter(fleet.running())).table
    held: dict[str, list[Scope]] = {}
    for centre in sorted({one.data_centre for one in fleet.identities}):
        for number in range(settings.SERVICES):
            scope = Scope(f'service-{number}', centre)
            held.setdefault(table.manager_of(scope), []).append(scope)
    for daemon, scopes in held.items():
        fleet.nodes[daemon].table_take(ManagedScopesChanged(tuple(scopes)))


def reset(fleet: Fleet) -> None:
    """Begin to measure."""
    fleet.network.traffic.clear()
    fleet.network.links.opened = 0
    fleet.store.calls = 0
    for node in fleet.running():
        node.busy_s = 0
        node.handled = 0


def measure_calm(daemons: int) -> Fleet:
    """Print what control costs while nothing happens."""
    fleet = new_fleet(daemons)
    reset(fleet)
    fleet.clock.run(settings.MEASURED_S)
    show_traffic(fleet, 'calm', settings.MEASURED_S)
    show_kinds(fleet)
    show_links(fleet)
    seconds = daemons * settings.MEASURED_S
    events = sum(node.handled for node in fleet.running()) / seconds
    busy = sum(node.busy_s for node in fleet.running()) / seconds
    show('calm.events_per_s', daemons, events)
    show('calm.decision_us_per_event', daemons, busy * 1e6 / events)
    show('calm.decision_core_percent', daemons, busy * 100)
    calls = fleet.store.calls / settings.MEASURED_S
    show('calm.store_calls_per_s', daemons, calls)
    return fleet


def bytes_of(traffic: Traffic) -> int:
    """Return the bytes of frames that a daemon sent and received."""
    return sum(traffic.sent_bytes.values()) + traffic.received_bytes


def packet_bytes_of(traffic: Traffic) -> int:
    """Estimate what TCP/IP adds to the frames."""
    frames = sum(traffic.sent.values()) + traffic.received
    return 2 * settings.PACKET_BYTES * frames


def show_traffic(fleet: Fleet, name: str, seconds: float) -> None:
    """Print the mean and the largest traffic of running daemons, both ways."""
    running = [node.identity.daemon for node in fleet.running()]
    traffic = [fleet.network.traffic[daemon] for daemon in running]
    daemons = len(running)
    sent = sum(sum(one.sent.values()) for one in traffic)
    frames = sum(map(bytes_of, traffic))
    packets = sum(map(packet_bytes_of, traffic))
    largest = max(bytes_of(one) + packet_bytes_of(one) for one in traffic)
    scale = daemons * seconds
    size = len(fleet.identities)
    show(f'{name}.sent_messages_per_s', size, sent / scale)
    show(f'{name}.frame_bytes_per_s', size, frames / scale)
    show(f'{name}.estimated_tcp_ip_bytes_per_s', size, packets / scale)
    show(f'{name}.bytes_per_s_of_largest', size, largest / seconds)


def show_kinds(fleet: Fleet) -> None:
    """Print the bytes of each type of message that a daemon sends."""
    daemons = len(fleet.identities)
    totals: dict[str, int] = {}
    for traffic in fleet.network.traffic.values():
        for kind, size in traffic.sent_bytes.items():
            totals[kind] = totals.get(kind, 0) + size
    for kind, total in sorted(totals.items()):
        rate = total / daemons / settings.MEASURED_S
        show(f'calm.sent_bytes_per_s.{kind}', daemons, rate)


def show_links(fleet: Fleet) -> None:
    """Print how many links a daemon opens for control, and keeps open."""
    daemons = len(fleet.identities)
    links = fleet.network.links
    held = links.count_open(fleet.clock.now) / daemons
    show('calm.links_opened_by_itself', daemons, held)
    opened = links.opened / daemons / settings.MEASURED_S
    show('calm.links_opened_per_s', daemons, opened)


def measure_change(fleet: Fleet) -> None:
    """Print what one change of the configuration costs and how long it takes.

    The configuration has 128 KiB, of which one chunk of 16 KiB is new.
    """
    daemons = len(fleet.identities)
    old = tuple(
        bytes([place]) * settings.CHUNK_BYTES
        for place in range(settings.CONFIG_CHUNKS)
    )
    fleet.store.put(make_document(CONFIG, 2, old))
    fleet.clock.run(settings.WARM_UP_S)
    reset(fleet)
    accepted_at = fleet.clock.now
    new = fleet.network.draw.randbytes(settings.CHUNK_BYTES)
    fleet.store.put(make_document(CONFIG, 3, (*old[1:], new)))
    fleet.clock.run(settings.WARM_UP_S)
    delays = [
        adoption.time - accepted_at
        for adoptions in fleet.observer.adoptions.values()
        for adoption in adoptions
        if adoption.name == CONFIG and adoption.version == 3
    ]
    show('change.reached_daemons', daemons, len(delays))
    show('change.in_force_s_of_last', daemons, max(delays))
    fetched = sum(
        traffic.sent_bytes[kind]
        for traffic in fleet.network.traffic.values()
        for kind in FETCH_KINDS
    )
    show('change.fetched_bytes', daemons, fetched / daemons)


def measure_memory(daemons: int) -> None:
    """Print the memory of one daemon's member table and documents."""
    fleet = Fleet(layout_of(daemons), settings.SEED)
    tracemalloc.start()
    node = fleet.start(fleet.identities[0])
    fleet.introduce(node)
    node.tick()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    show('memory_kib', daemons, size / KIB)
