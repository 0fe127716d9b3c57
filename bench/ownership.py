"""Prints figures of ownership: ``python -m bench.ownership``."""

import time
from itertools import chain, repeat
from statistics import median

from laburnumyard.core import ownership
from laburnumyard.core.ownership._ranges import reassigned
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.conftest import ObservedFleet, build_scene
from tests.core.ownership.fleet import DATA_CENTRES, WHOLE

PLACE = DATA_CENTRES[0]
SEEDS = range(20)
STEADY_S = 20
WARM_UP_S = 5
SIZES = ((5, 15), (20, 60), (80, 240), (20, 2000))


def lose_target(scene: ObservedFleet) -> None:
    """Kill one target."""
    scene.fleet.targets['target-0'].kill()


def lose_manager(scene: ObservedFleet) -> None:
    """Kill the manager of a scope."""
    scene.fleet.manager_of(PLACE).kill()


def lose_data_centre(scene: ObservedFleet) -> None:
    """Kill every target and daemon of a data centre."""
    fleet = scene.fleet
    for node in (*fleet.targets.values(), *fleet.daemons.values()):
        if node.data_centre == PLACE:
            node.kill()


def move(scene: ObservedFleet) -> None:
    """Move one range gracefully."""
    part = scene.fleet.owners['target-0'][0]
    scene.fleet.feed_all(ownership.MoveRequested(part, 'target-1'))


def drain(scene: ObservedFleet) -> None:
    """Empty one target gracefully."""
    scene.fleet.feed_all(ownership.TargetDraining('target-0'))


def unavailable(seed: int, happen) -> float:
    """Return the longest time of a key without an owner, in seconds."""
    scene = build_scene(seed)
    scene.observer.interval = 0.001
    scene.fleet.run(0.1 + seed / 77)
    scene.observer.restart()
    happen(scene)
    scene.fleet.run(4)
    return scene.observer.worst


def plan_of(scope: int, total: int) -> ownership.ServicePlan:
    """Return a service with some of its targets in one scope."""
    others = repeat(DATA_CENTRES[1], total - scope)
    places = chain(repeat(PLACE, scope), others)
    kinds = {
        f'catalogue-{number}': ownership.FencedTarget(place)
        for number, place in enumerate(places)
    }
    key_range = ownership.KeyRangePlan(WHOLE, tuple(kinds))
    return ownership.ServicePlan('catalogue', (key_range,), kinds)


def processor_share(scope: int, total: int) -> float:
    """Return the share of a core that steady renewals take."""
    settings = ownership.ManagerSettings('d', 1, PLACE, TimingSettings())
    manager = ownership.LeaseManager(settings, plan_of(scope, total))
    holders: dict = {}
    now = 100
    queue = [ownership.TakeOver()]
    started = 0
    spent = 0
    while now < 100 + STEADY_S:
        for event in queue or [ownership.Tick()]:
            before = time.perf_counter()
            effects = manager.handle(event, now)
            spent += time.perf_counter() - before
            queue = [*queue[1:], *answers(effects, manager, holders, now)]
        if not queue:
            now = manager.wake_at(now)
        if now < 100 + WARM_UP_S:
            started = spent
    return (spent - started) / (STEADY_S - WARM_UP_S)


def answers(effects, manager, holders, now) -> list:
    """Answer at once, as a store and targets without faults would."""
    events: list = []
    for effect in effects:
        if isinstance(effect, ownership.ReadHead):
            snapshot = manager.state.snapshot
            events.append(ownership.HeadRead(snapshot, now))
        if isinstance(effect, ownership.SwapHead):
            revision = (effect.revision or 0) + 1
            events.append(ownership.SwapDone(effect.change, revision))
        if hasattr(effect, 'target'):
            holder = holders.setdefault(
                effect.target,
                ownership.GrantHolder(0),
            )
            events.append(serve(effect, holder, now))
    return events


def serve(effect, holder, now) -> ownership.TargetAnswer:
    """Answer one message as its target."""
    if isinstance(effect, ownership.SendSeal):
        held = holder.seal(effect.term, now)
    else:
        token = (effect.term, effect.sequence)
        reading = (effect.clock_ms, effect.lifetime_ms)
        ranges = getattr(effect, 'ranges', None)
        if ranges is None:
            held = holder.renew(*token, *reading, now)
        else:
            held = holder.grant(*token, *reading, ranges, now)
    return ownership.TargetAnswer(
        effect.target,
        effect.call,
        held.accepted,
        held.term,
        held.sequence,
        held.clock_ms,
        held.ranges,
    )


def print_sizes(total: int) -> None:
    """Print the bytes of an assignment, and of what a move writes."""
    plan = plan_of(total, total)
    first = ownership.initial_assignment(plan)
    part = ownership.hash_range(first.ranges[5])
    moved = reassigned(first, {part: next(iter(plan.targets))})
    chunks = ownership.split_assignment(first)
    known = {chunk.digest for chunk in chunks}
    fresh = [
        chunk
        for chunk in ownership.split_assignment(moved)
        if chunk.digest not in known
    ]
    name = f'targets_{total}'
    print(f'{name}_assignment_bytes={sum(map(size, chunks))}')
    print(f'{name}_move_bytes={sum(map(size, fresh))}')


def size(chunk: ownership.Chunk) -> int:
    """Return the bytes of a chunk."""
    return len(chunk.content)


def main() -> None:
    """Print every figure."""
    for happen in (lose_target, lose_manager, lose_data_centre, move, drain):
        times = [unavailable(seed, happen) for seed in SEEDS]
        name = f'unavailable_{happen.__name__}'
        print(f'{name}_median_s={median(times):.3f}')
        print(f'{name}_max_s={max(times):.3f}')
    for scope, total in SIZES:
        share = processor_share(scope, total)
        print(f'core_share_scope_{scope}_of_{total}={share:.5f}')
        print_sizes(total)


if __name__ == '__main__':
    main()
