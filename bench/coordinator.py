"""Processor time of a coordinator for each request, in virtual time.

``python -m bench.coordinator`` plays a keyed service of 130 targets of 4 slots
at 1,300 requests a second, with a wave, a hot spot of 40 % on 60 neighbouring
keys, and 8.5 s in which all targets shed 55 %. It prints the processor time of
the scheduler and of the shard manager for each request, then that of the path
of a gateway's messages. ``--profile`` prints cProfile's ranking instead.
"""

import cProfile
import math
import pstats
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import chain
from random import Random

from bench import coordinator_messages
from standins.contended_service import (
    ContendedService,
    Kind,
    draw_callers,
    hot_key,
)

TARGETS = 130
DURATION_S = 20
SHED_FROM_S = 8.0
SHED_UNTIL_S = 16.5
SHED_SHARE = 0.55
LOOKUP = Kind('lookup', 2, 0.19, 0.608, 2.532)
ENTRY = Kind('entry', 0, 0.134, 0.634, 2.581)
SCHEDULER_CALLS = ('submit', 'finish', 'tick', 'dispatch', 'withdraw')
MANAGER_CALLS = (
    'plan',
    'preview',
    'apply',
    'due_orders',
    'next_order',
    'note_reply',
)


class ProcessorTime:
    """Processor time of the outermost measured calls, by name."""

    def __init__(self) -> None:
        """Start without calls."""
        self.is_inside = False
        self.spent_ns: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()

    def measure(self, owner: object, name: str, label: str) -> None:
        """Measure the calls of a method."""
        inner = getattr(owner, name)
        setattr(owner, name, partial(self.call, f'{label}.{name}', inner))

    def call(
        self, label: str, inner: Callable[..., object], *args: object, **named
    ) -> object:
        """Call a method and count its time, unless it is nested."""
        if self.is_inside:
            return inner(*args, **named)
        self.is_inside = True
        begun = time.thread_time_ns()
        found = inner(*args, **named)
        if not isinstance(found, (list, tuple, dict, bool, type(None))):
            found = tuple(found)
        self.spent_ns[label] += time.thread_time_ns() - begun
        self.calls[label] += 1
        self.is_inside = False
        return found


def wave(mean: float, now: float) -> float:
    """Return a rate that rises and falls by a quarter."""
    return mean * (1 + 0.25 * math.sin(now))


def build_model(targets: int) -> ContendedService:
    """Return the service without load."""
    paces = {
        f'target-{number:03d}': (0.6, 0.9, 1.5)[number % 3]
        for number in range(targets)
    }
    model = ContendedService(paces)
    model.shed_from(SHED_FROM_S, SHED_UNTIL_S, SHED_SHARE)
    return model


def play(model: ContendedService, per_second: float) -> int:
    """Play the load and return how many requests it had."""
    random = Random(7)
    callers = chain(
        draw_callers(
            random, LOOKUP, partial(wave, per_second * 0.8), DURATION_S, hot_key
        ),
        draw_callers(
            random, ENTRY, partial(wave, per_second * 0.2), DURATION_S, hot_key
        ),
    )
    results = model.play(list(callers), DURATION_S + 1)
    return sum(each.asked for each in results.values())


def measure(targets: int) -> None:
    """Print the processor time for each request."""
    model = build_model(targets)
    spent = ProcessorTime()
    for name in SCHEDULER_CALLS:
        spent.measure(model.scheduler, name, 'scheduler')
    for name in MANAGER_CALLS:
        spent.measure(model.manager, name, 'shards')
    per_second = 10 * targets
    asked = play(model, per_second)
    print(f'targets={targets} requests_per_s={per_second} asked={asked}')
    for label, used in sorted(spent.spent_ns.items()):
        print(
            f'  {label} calls={spent.calls[label]} '
            f'us_per_request={used / asked / 1000:.1f}'
        )
    total = sum(spent.spent_ns.values()) / asked / 1000
    print(f'  total us_per_request={total:.1f}')
    for name, kind in model.kinds.items():
        print(
            f'  {name} asked={kind.asked} tries={kind.tries} '
            f'share={kind.share:.3f} served={kind.served:.3f} '
            f'late={kind.late} refused_again={kind.refused_again}'
        )


def main() -> None:
    """Measure, or rank the functions by time."""
    if '--profile' in sys.argv:
        model = build_model(TARGETS)
        profile = cProfile.Profile()
        profile.runcall(play, model, 10 * TARGETS)
        pstats.Stats(profile).sort_stats('tottime').print_stats('core', 30)
        return
    for targets in (TARGETS // 4, TARGETS):
        measure(targets)
    coordinator_messages.main()


if __name__ == '__main__':
    main()
