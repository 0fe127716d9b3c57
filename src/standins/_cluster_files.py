"""The settings and objects of a small deployment on loopback."""

import json
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import cycle
from random import SystemRandom

LOOPBACK = '127.0.0.1'
OPERATOR_TOKEN = 'operator-token'
PORTS = (12_000, 32_000)


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service of a small deployment.

    Parameters
    ----------
    name
        The service.
    targets
        How many targets it has.
    slots, connections
        The size of each target.
    fencing
        ``token`` or ``none``.
    work_ms
        How long a request runs, in milliseconds.
    """

    name: str
    targets: int
    slots: int = 3
    connections: int = 110
    fencing: str = 'token'
    work_ms: float = 1


@dataclass(frozen=True, slots=True)
class DaemonPlace:
    """Where one daemon listens."""

    name: str
    data_centre: str
    callers: str
    peers: str
    admin: str


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """Where one target listens."""

    name: str
    service: ServiceShape
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """A small deployment.

    Parameters
    ----------
    services
        The services and their sizes.
    daemons
        How many daemons, spread over the data centres.
    data_centres
        The data centres, all of one region.
    paying_share
        The share of each service that the customer ``clinic`` pays for.
    timing
        Lines of the ``[timing]`` table that differ from the default; no
        balancer is there to be given notice.
    """

    services: tuple[ServiceShape, ...]
    daemons: int = 3
    data_centres: tuple[str, ...] = ('lima-a', 'lima-b', 'lima-c')
    region: str = 'lima'
    paying_share: float = 0.3
    timing: tuple[str, ...] = ('leave_notice_s = 0.1',)
    limits: tuple[str, ...] = ()


@dataclass(slots=True)
class Places:
    """The addresses of one deployment."""

    store: str
    daemons: tuple[DaemonPlace, ...]
    targets: tuple[TargetPlace, ...]
    held: list[socket.socket] = field(default_factory=list)


def choose_places(plan: ClusterPlan) -> Places:
    """Pick free loopback ports for a deployment."""
    ports = _free_ports()
    daemon_centres = cycle(plan.data_centres)
    daemons = tuple(
        DaemonPlace(
            f'vm-{number}',
            next(daemon_centres),
            *(next(ports) for _ in range(3)),
        )
        for number in range(1, plan.daemons + 1)
    )
    targets = tuple(
        TargetPlace(f'{shape.name}-{number}', shape, centre, next(ports))
        for shape in plan.services
        for number, centre in zip(
            range(1, shape.targets + 1),
            cycle(plan.data_centres),
            strict=False,
        )
    )
    return Places(next(ports), daemons, targets)


def _free_ports() -> Iterator[str]:
    """Yield addresses whose ports were free a moment ago.

    They lie below the ports that the kernel gives to outgoing connections,
    which could take one before its process listens.
    """
    draw = SystemRandom()
    seen: set[int] = set()
    while True:
        port = draw.randrange(*PORTS)
        if port not in seen and _is_free(port):
            seen.add(port)
            yield f'{LOOPBACK}:{port}'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def daemon_settings(
    plan: ClusterPlan,
    places: Places,
    daemon: DaemonPlace,
) -> str:
    """Return the settings of one daemon, in TOML."""
    token = sha256(OPERATOR_TOKEN.encode()).hexdigest()
    lines = (
        '[daemon]',
        f'name = "{daemon.name}"',
        f'data_centre = "{daemon.data_centre}"',
        f'region = "{plan.region}"',
        '[listen]',
        f'callers = "{daemon.callers}"',
        f'peers = "{daemon.peers}"',
        f'admin = "{daemon.admin}"',
        '[admin]',
        f'token_sha256 = "{token}"',
        '[store]',
        f'address = "{places.store}"',
        '[timing]',
        *plan.timing,
        '[limits]',
        *plan.limits,
    )
    return '\n'.join(lines)


def vm_list(plan: ClusterPlan, places: Places) -> str:
    """Return the platform's list of VMs, in JSON."""
    daemons = [_vm_row(plan, daemon, daemon.peers) for daemon in places.daemons]
    # A target's VM links to no daemon.
    targets = [_vm_row(plan, target, '') for target in places.targets]
    return json.dumps([*daemons, *targets])


def _vm_row(
    plan: ClusterPlan,
    place: DaemonPlace | TargetPlace,
    peer_address: str,
) -> dict[str, str]:
    return {
        'name': place.name,
        'data_centre': place.data_centre,
        'region': plan.region,
        'peer_address': peer_address,
        'state': 'live',
    }


def objects(plan: ClusterPlan, places: Places) -> str:
    """Return the operators' objects, in TOML."""
    return '\n'.join(
        (
            *_class_lines(),
            *_customer_lines(plan),
            *(
                line
                for shape in plan.services
                for line in _service_lines(plan, places, shape)
            ),
        )
    )


def _class_lines() -> Iterator[str]:
    for name, rank, least in (('paid', 1, 0), ('common', 5, 0.1)):
        yield '[[priority_class]]'
        yield f'name = "{name}"'
        yield f'rank = {rank}'
        yield f'least_share = {least}'


def _customer_lines(plan: ClusterPlan) -> Iterator[str]:
    for name in ('clinic', 'visitor'):
        yield '[[customer]]'
        yield f'name = "{name}"'
        yield f'token_sha256 = "{sha256(name.encode()).hexdigest()}"'
        if name == 'clinic':
            for shape in plan.services:
                yield '[[customer.shares]]'
                yield f'service = "{shape.name}"'
                yield 'priority_class = "paid"'
                yield f'share = {plan.paying_share}'


def _service_lines(
    plan: ClusterPlan,
    places: Places,
    shape: ServiceShape,
) -> Iterator[str]:
    targets = [each for each in places.targets if each.service == shape]
    yield '[[service]]'
    yield f'name = "{shape.name}"'
    yield f'region = "{plan.region}"'
    yield 'common_class = "common"'
    yield '[[key_range]]'
    yield f'name = "{shape.name}-all"'
    yield f'service = "{shape.name}"'
    yield f'targets = {json.dumps([each.name for each in targets])}'
    for target in targets:
        yield '[[target]]'
        yield f'name = "{target.name}"'
        yield f'service = "{shape.name}"'
        yield f'data_centre = "{target.data_centre}"'
        yield f'address = "{target.address}"'
        yield f'slots = {shape.slots}'
        yield f'connections = {shape.connections}'
        yield f'fencing = "{shape.fencing}"'
