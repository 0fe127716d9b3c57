"""The demands that each variant is put under, and the figures of each."""

from statistics import mean
from types import MappingProxyType

from bench.requests.figures import (
    Ending,
    Run,
    good_part,
    latencies,
    percentile,
    show,
)
from bench.requests.simulation import Clock
from bench.requests.variants import ENTRIES, Fleet
from bench.requests.workload import (
    DEFERRED,
    LONG,
    PAID,
    SHORT,
    Demand,
    Service,
    Source,
    jobs,
)

SERVICES = (
    Service('catalogue', 9, 3, repeatable_part=1),
    Service('orders', 6, 3, repeatable_part=0.5),
    Service('production', 9, 3, repeatable_part=0.8),
)
OTHER_PAID = 'hospital'
PAID_SHARE = 0.2
COMMON = 'trujillo'
# Class and share of those who paid.
SHARES = MappingProxyType(
    {
        PAID: ('first', PAID_SHARE),
        OTHER_PAID: ('first', 0.1),
        DEFERRED: ('later', 0.05),
    }
)
# The parts of the demand by customer.
PARTS = MappingProxyType(
    {
        PAID: 0.1,
        OTHER_PAID: 0.05,
        DEFERRED: 0.05,
        COMMON: 0.4,
        'arequipa': 0.2,
        'cusco': 0.1,
        'piura': 0.1,
    }
)
GROUPS = MappingProxyType(
    {
        'paid': frozenset((PAID, OTHER_PAID)),
        'deferrable': frozenset((DEFERRED,)),
        'common': frozenset(PARTS) - frozenset(SHARES),
    }
)
WORKS = MappingProxyType(
    {'all': frozenset((SHORT, LONG)), 'short': frozenset((SHORT,))}
)
SWING = Demand(calm=0.25, crest=1.25)
SWING_DURATION = 8
OVERLOAD = 5
# A steady demand that can be met, as a part of the capacity.
BUSY = 0.7
STEADY_DURATION = 4
PAID_DURATION = 12


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

    way = variant(fleet, SHARES, run.report)
    for job in jobs(sources, ENTRIES, duration, seed):
        clock.at(job.arrival, way.arrive, job)
    clock.run()
    return run


def swing(name: str, variant: type, seed: int) -> None:
    """Print what the crest of a swing looks like."""
    run = simulate(variant, _everyone(SWING), SWING_DURATION, seed)
    show(f'crest_goodput_per_s.{name}', run.goodput())
    for group, customers in GROUPS.items():
        endings = _of_customers(run.at_crest(), customers)
        times = latencies(endings)
        answered = [each for each in times if each != float('inf')]
        suffix = f'{group}.{name}'
        show(f'crest_good_part.{suffix}', good_part(endings))
        show(f'crest_p50_ms.{suffix}', percentile(times, 50))
        show(f'crest_p99_ms.{suffix}', percentile(times, 99))
        show(f'crest_answered_p99_ms.{suffix}', percentile(answered, 99))
    waits = run.waits_of_short_work()
    show(f'crest_short_wait_p50_ms.{name}', percentile(waits, 50))
    show(f'crest_short_wait_p99_ms.{name}', percentile(waits, 99))
    show(f'imbalance.{name}', run.imbalance())


def head_of_line(name: str, variant: type, seed: int) -> None:
    """Print how long short work waits at a demand that can be met."""
    run = simulate(variant, _everyone(Demand(BUSY)), STEADY_DURATION, seed)
    waits = run.waits_of_short_work()
    show(f'busy_short_wait_mean_ms.{name}', mean(waits))
    show(f'busy_short_wait_p50_ms.{name}', percentile(waits, 50))
    show(f'busy_short_wait_p90_ms.{name}', percentile(waits, 90))
    show(f'busy_short_wait_p99_ms.{name}', percentile(waits, 99))
    for group in ('paid', 'common'):
        times = latencies(_of_customers(run.endings, GROUPS[group]))
        show(f'busy_p50_ms.{group}.{name}', percentile(times, 50))
        show(f'busy_p99_ms.{group}.{name}', percentile(times, 99))


def paid_ratio(
    name: str,
    variant: type,
    seed: int,
    flooder: str = COMMON,
) -> None:
    """Print what another customer's overload does to a paying one."""
    service = SERVICES[0]
    paid = Source(service, PAID, PAID_SHARE, Demand(1))
    others = Source(service, flooder, OVERLOAD, Demand(1))
    alone = simulate(variant, [paid], PAID_DURATION, seed)
    among = simulate(variant, [paid, others], PAID_DURATION, seed)
    for work in WORKS:
        alone_p99 = _show_paid(alone, work, f'{work}.alone.{name}')
        among_p99 = _show_paid(among, work, f'{work}.among.{name}')
        show(f'paid_p99_ratio.{work}.{name}', among_p99 / alone_p99)


def overload(name: str, variant: type, seed: int) -> None:
    """Print what is left of the goodput at five times the demand."""
    goodput = {}
    for factor in (1, OVERLOAD):
        sources = [
            Source(SERVICES[0], customer, part, Demand(factor))
            for customer, part in PARTS.items()
        ]
        run = simulate(variant, sources, STEADY_DURATION, seed)
        goodput[factor] = run.goodput()
        show(f'goodput_per_s.{factor}x.{name}', goodput[factor])
    show(f'goodput_ratio.{name}', goodput[OVERLOAD] / goodput[1])


def _everyone(demand: Demand) -> list[Source]:
    return [
        Source(service, customer, part, demand)
        for service in SERVICES
        for customer, part in PARTS.items()
    ]


def _of_customers(
    endings: list[Ending],
    customers: frozenset[str],
) -> list[Ending]:
    return [each for each in endings if each.job.customer in customers]


def _show_paid(run: Run, work: str, suffix: str) -> float:
    endings = [
        ending
        for ending in _of_customers(run.endings, frozenset((PAID,)))
        if ending.job.operation in WORKS[work]
    ]
    times = latencies(endings)
    p99 = percentile(times, 99)
    show(f'paid_p50_ms.{suffix}', percentile(times, 50))
    show(f'paid_p99_ms.{suffix}', p99)
    show(f'paid_good_part.{suffix}', good_part(endings))
    return p99
