"""Print the figures: ``python -m bench.requests [SEED]``."""

import sys
from time import perf_counter

from bench.requests.figures import Ending, Run, latencies, percentile
from bench.requests.simulation import Clock
from bench.requests.variants import (
    ENTRIES,
    Baseline,
    DirectShares,
    Dispatchers,
    Fleet,
    LeastInFlight,
)
from bench.requests.workload import (
    DEFERRED,
    LONG,
    PAID,
    SHORT,
    Demand,
    Job,
    Service,
    Source,
    jobs,
)

SEED = 1
SERVICES = [
    Service('catalogue', 9, 3, repeatable_part=1),
    Service('orders', 6, 3, repeatable_part=0.5),
    Service('production', 9, 3, repeatable_part=0.8),
]
SHARES = {
    PAID: ('first', 0.2),
    'hospital': ('first', 0.1),
    DEFERRED: ('later', 0.05),
}
# The parts of the demand by customer.
PARTS = {
    PAID: 0.1,
    'hospital': 0.05,
    DEFERRED: 0.05,
    'trujillo': 0.4,
    'arequipa': 0.2,
    'cusco': 0.1,
    'piura': 0.1,
}
SWING = Demand(calm=0.25, crest=1.25)
SWING_DURATION = 8
OVERLOAD = 5
# A steady demand that can be met, as a part of the capacity.
BUSY = 0.7
STEADY_DURATION = 4
PAID_DURATION = 12
VARIANTS = {
    'dispatcher': Dispatchers,
    'direct': DirectShares,
    'baseline': Baseline,
    'least_in_flight': LeastInFlight,
}


def simulate(
    variant: type,
    sources: list[Source],
    duration: float,
    seed: int,
) -> Run:
    """Run one variant on the requests that the seed draws."""
    clock = Clock()
    services = {source.service.name: source.service for source in sources}
    fleet = Fleet(clock, list(services.values()))
    run = Run(sources[0].demand, duration, fleet)

    def report(job: Job, is_whole: bool) -> None:
        latency = clock.now - job.arrival
        is_good = is_whole and clock.now <= job.deadline + 0.004
        run.endings.append(Ending(job, latency, is_good))

    way = variant(fleet, SHARES, report)
    for job in jobs(sources, ENTRIES, duration, seed):
        clock.at(job.arrival, way.arrive, job)
    clock.run()
    return run


def show(name: str, figure: float) -> None:
    """Print one figure."""
    print(f'{name}={figure:.4g}')


def swing(name: str, variant: type, seed: int) -> None:
    """Print what the crest of a swing looks like."""
    sources = [
        Source(service, customer, part, SWING)
        for service in SERVICES
        for customer, part in PARTS.items()
    ]
    run = simulate(variant, sources, SWING_DURATION, seed)
    show(f'crest_goodput_per_s.{name}', run.goodput())
    groups = {
        'paid': {PAID, 'hospital'},
        'deferrable': {DEFERRED},
        'common': set(PARTS) - {PAID, 'hospital', DEFERRED},
    }
    for group, customers in groups.items():
        endings = [
            ending
            for ending in run.at_crest()
            if ending.job.customer in customers
        ]
        times = latencies(endings)
        good = sum(ending.is_good for ending in endings) / len(endings)
        show(f'crest_good_part.{group}.{name}', good)
        show(f'crest_p50_ms.{group}.{name}', percentile(times, 50))
        show(f'crest_p99_ms.{group}.{name}', percentile(times, 99))
        answered = [each for each in times if each != float('inf')]
        p99 = percentile(answered, 99)
        show(f'crest_answered_p99_ms.{group}.{name}', p99)
    waits = [wait * 1000 for wait in run.waits_of_short_work()]
    show(f'crest_short_wait_p50_ms.{name}', percentile(waits, 50))
    show(f'crest_short_wait_p99_ms.{name}', percentile(waits, 99))
    show(f'imbalance.{name}', run.imbalance())


def head_of_line(name: str, variant: type, seed: int) -> None:
    """Print how long short work waits at a demand that can be met."""
    sources = [
        Source(service, customer, part, Demand(BUSY))
        for service in SERVICES
        for customer, part in PARTS.items()
    ]
    run = simulate(variant, sources, STEADY_DURATION, seed)
    waits = [wait * 1000 for wait in run.waits_of_short_work()]
    show(f'busy_short_wait_p50_ms.{name}', percentile(waits, 50))
    show(f'busy_short_wait_p99_ms.{name}', percentile(waits, 99))
    times = latencies(run.at_crest())
    show(f'busy_p50_ms.{name}', percentile(times, 50))
    show(f'busy_p99_ms.{name}', percentile(times, 99))


def paid_ratio(name: str, variant: type, seed: int) -> None:
    """Print what others' overload does to a paying customer."""
    service = SERVICES[0]
    paid = Source(service, PAID, SHARES[PAID][1], Demand(1))
    others = Source(service, 'trujillo', OVERLOAD, Demand(1))
    alone = simulate(variant, [paid], PAID_DURATION, seed)
    among = simulate(variant, [paid, others], PAID_DURATION, seed)
    for work, operations in (('all', {SHORT, LONG}), ('short', {SHORT})):
        p99 = {}
        for situation, run in (('alone', alone), ('among', among)):
            endings = [
                ending
                for ending in run.endings
                if ending.job.customer == PAID
                and ending.job.operation in operations
            ]
            times = latencies(endings)
            p99[situation] = percentile(times, 99)
            good = sum(ending.is_good for ending in endings) / len(endings)
            suffix = f'{work}.{situation}.{name}'
            show(f'paid_p50_ms.{suffix}', percentile(times, 50))
            show(f'paid_p99_ms.{suffix}', p99[situation])
            show(f'paid_good_part.{suffix}', good)
        show(f'paid_p99_ratio.{work}.{name}', p99['among'] / p99['alone'])


def overload(name: str, variant: type, seed: int) -> None:
    """Print what is left of the goodput at five times the demand."""
    service = SERVICES[0]
    goodput = {}
    for factor in (1, OVERLOAD):
        sources = [
            Source(service, customer, part, Demand(factor))
            for customer, part in PARTS.items()
        ]
        run = simulate(variant, sources, STEADY_DURATION, seed)
        goodput[factor] = run.goodput()
        show(f'goodput_per_s.{factor}x.{name}', goodput[factor])
    show(f'goodput_ratio.{name}', goodput[OVERLOAD] / goodput[1])


def main() -> None:
    """Print all figures."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    started = perf_counter()
    show('seed', seed)
    for name, variant in VARIANTS.items():
        swing(name, variant, seed)
        head_of_line(name, variant, seed)
        paid_ratio(name, variant, seed)
        overload(name, variant, seed)
    show('bench_duration_s', perf_counter() - started)


if __name__ == '__main__':
    main()
