"""A seeded series of faults that a gateway cluster suffers.

Faults of gateways, of the store and of targets come one after the other and
overlap. What was seen to break is collected while it runs.
"""

import signal
import time
from bisect import bisect_left
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from itertools import combinations, pairwise
from random import Random

import anyio
from anyio.abc import TaskGroup

from standins._gateway_target import GatewayTarget, Taken
from standins._keyvalue import StoreCopy
from standins.gateway_cluster import EVACUATION_PREFIX, GatewayCluster

# No two targets may hold a key for longer than this.
SHARED_HOLD_S = 0.5
SAMPLE_S = 0.05
COPY_INTERVAL_S = 0.5
# How much the store loses at most, in copies.
MAX_COPIES = 10
# An evacuated data centre gets no request after this time, and a cold target no
# more requests a second than this; the settings of the gateways say the same.
EVACUATE_S = 5.0
OVERSHOOT = 1.5
SLACK = 8
EVACUABLE = 'lima-b'
LIMITS = ('0', '0.3', '2', '1000000000', '-1', 'soon')


Fault = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class FaultSeries:
    """Draws faults, and notes two holders of one key.

    Parameters
    ----------
    cluster
        The cluster that suffers them.
    seed
        Seed of what comes when.

    Attributes
    ----------
    longest_shared
        How long two targets held the same key at most, in seconds.
    log
        The faults, with their times.
    evacuated_since
        When the evacuated data centre was, in seconds; None if none is.
    late
        How long after the beginning of an evacuation requests came too late.
    most_when_cold
        The most requests that a target got in a second after an evacuation.
    """

    cluster: GatewayCluster
    seed: int
    longest_shared: float = 0
    log: list[str] = field(default_factory=list)
    evacuated_since: float | None = None
    late: list[float] = field(default_factory=list)
    most_when_cold: int = 0
    copies: list[StoreCopy] = field(default_factory=list)
    store_lock: anyio.Lock = field(default_factory=anyio.Lock)
    random: Random = field(init=False)
    started: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        """Seed the draws."""
        self.random = Random(self.seed)

    async def run(self, duration_s: float, gap_s: float = 0.7) -> None:
        """Cause faults for some time, and return when all have ended."""
        faults: tuple[Fault, ...] = (
            self.kill,
            self.pause,
            self.stop,
            self.take_store_away,
            self.restore_store,
            self.limit_target,
            self.change_configuration,
            self.evacuate,
        )
        until = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < until:
                fault = self.random.choice(faults)
                self.note(fault.__name__)
                tasks.start_soon(fault)
                await anyio.sleep(self.random.expovariate(1 / gap_s))

    def watch(self, tasks: TaskGroup) -> None:
        """Start to copy the store, and to look for shared keys."""
        tasks.start_soon(self.copy_store)
        tasks.start_soon(self.sample)

    async def copy_store(self) -> None:
        """Keep the last copies of the store until cancelled."""
        while True:
            self.copies.append(self.cluster.store.store.copy())
            self.copies = self.copies[-MAX_COPIES:]
            await anyio.sleep(COPY_INTERVAL_S)

    async def sample(self) -> None:
        """Note for how long two targets hold one key, until cancelled."""
        since: dict[tuple[int, str, str], float] = {}
        while True:
            now = time.monotonic()
            shared = set(shared_keys(self.cluster.targets, now))
            since = {each: since.get(each, now) for each in shared}
            longest = max((now - at for at in since.values()), default=0)
            if longest > max(SHARED_HOLD_S, self.longest_shared):
                self.note(f'shared {sorted(shared)}')
            self.longest_shared = max(self.longest_shared, longest)
            await anyio.sleep(SAMPLE_S)

    async def kill(self) -> None:
        """Kill a gateway and start it again."""
        gateway = self.random.choice(self.cluster.gateways)
        gateway.signal(signal.SIGCONT)
        gateway.kill()
        await anyio.sleep(self.random.uniform(0.2, 1.5))
        gateway.start()

    async def pause(self) -> None:
        """Stop a gateway for a while and let it go on."""
        gateway = self.random.choice(self.cluster.gateways)
        gateway.signal(signal.SIGSTOP)
        await anyio.sleep(self.random.uniform(0.2, 2.5))
        gateway.signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Ask a gateway to end, and start it again after that."""
        gateway = self.random.choice(self.cluster.gateways)
        process = gateway.process
        gateway.signal(signal.SIGTERM)
        with anyio.move_on_after(8):
            while process is not None and process.poll() is None:  # noqa: ASYNC110
                await anyio.sleep(SAMPLE_S)
        if gateway.process is process:
            gateway.kill()
            gateway.start()

    async def take_store_away(self) -> None:
        """Have the store answer nothing for a while."""
        async with self.store_lock:
            self.cluster.store.faults.down = True
            self.cluster.store.wake()
            await anyio.sleep(self.random.uniform(0.2, 2))
            self.cluster.store.faults.down = False

    async def restore_store(self) -> None:
        """Bring the store back from an older copy."""
        async with self.store_lock:
            store = self.cluster.store
            store.faults.down = True
            store.wake()
            await anyio.sleep(self.random.uniform(0.05, 1.5))
            store.store.restore(self.random.choice(self.copies))
            self.copies = [store.store.copy()]
            store.faults.down = False
            # The operator and the targets write again what was lost.
            store.put('op/config', self.cluster.configuration())
            self.write_evacuation_again()
            await anyio.sleep(self.random.uniform(0, 0.5))

    async def evacuate(self) -> None:
        """Evacuate a data centre for a while; its targets return cold."""
        async with self.store_lock:
            if self.evacuated_since is not None:
                return
            self.cluster.evacuate(EVACUABLE)
            self.evacuated_since = time.monotonic()
        await anyio.sleep(self.random.uniform(1, 8))
        async with self.store_lock:
            self.note_late(self.evacuated_since)
            self.evacuated_since = None
            self.cluster.end_evacuation(EVACUABLE)
            ended_at = time.monotonic()
        await anyio.sleep(self.cluster.warm_up_s)
        self.note_cold(ended_at, ended_at + self.cluster.warm_up_s)

    def evacuable(self) -> list[GatewayTarget]:
        """Return the targets of the data centre that is evacuated at times."""
        return [
            target
            for target in self.cluster.targets
            if target.data_centre == EVACUABLE
        ]

    def write_evacuation_again(self) -> None:
        """Write or remove what the store has lost of evacuations."""
        if self.evacuated_since is None:
            self.cluster.store.remove(f'{EVACUATION_PREFIX}{EVACUABLE}')
        else:
            self.cluster.evacuate(EVACUABLE)
            self.evacuated_since = time.monotonic()

    def note_late(self, since: float) -> None:
        """Note the requests that came too late after an evacuation began."""
        self.late.extend(
            at - since
            for target in self.evacuable()
            for at in target.arrivals
            if at > since + EVACUATE_S
        )

    def note_cold(self, since: float, until: float) -> None:
        """Note the requests of cold targets."""
        for target in self.evacuable():
            most = most_in_a_second(target.arrivals, since, until)
            self.note(f'{target.name} got {most} in a second when cold')
            self.most_when_cold = max(self.most_when_cold, most)

    async def limit_target(self) -> None:
        """Have a target state a rate limit for a while."""
        target = self.random.choice(self.cluster.targets)
        target.rate_limit = self.random.choice(LIMITS)
        await anyio.sleep(self.random.uniform(1, 4))
        target.rate_limit = ''

    async def change_configuration(self) -> None:
        """Add a route."""
        async with self.store_lock:
            added = f'/added-{len(self.cluster.routes)}/'
            self.cluster.configure(*self.cluster.routes, added)

    def note(self, text: str) -> None:
        """Log a fault."""
        self.log.append(f'{time.monotonic() - self.started:7.3f} {text}')


def most_in_a_second(arrivals: list[float], since: float, until: float) -> int:
    """Return the most requests that came in any second of a time."""
    times = [at for at in arrivals if since <= at < until]
    return max(
        (bisect_left(times, at + 1) - index for index, at in enumerate(times)),
        default=0,
    )


def shared_keys(
    targets: list[GatewayTarget], now: float
) -> Iterator[tuple[int, str, str]]:
    """Yield the first key that two targets hold, and both targets."""
    holds = sorted(
        (hold.first, hold.last, target.name)
        for target in targets
        for hold in target.held(now)
    )
    for (_, last, one), (first, _, other) in pairwise(holds):
        if first <= last and one != other:
            yield first, one, other


def outdated_grants(targets: list[GatewayTarget]) -> Iterator[str]:
    """Yield the grants whose token is not above those of other targets."""
    taken: list[Taken] = sorted(
        (each for target in targets for each in target.taken),
        key=lambda each: each.at,
    )
    for earlier, later in combinations(taken, 2):
        is_other = earlier.target != later.target
        is_higher = later.hold.token > earlier.hold.token
        if is_other and not is_higher and earlier.hold.overlaps(later.hold):
            yield f'{later} after {earlier}'
