"""Print the figures: ``python -m bench.requests [SEED]``."""

import sys
from time import perf_counter
from types import MappingProxyType

from bench.requests.cost import decision_cost
from bench.requests.figures import show
from bench.requests.flow_control import fixed_concurrency
from bench.requests.scenarios import (
    OTHER_PAID,
    SERVICES,
    SHARES,
    head_of_line,
    overload,
    paid_ratio,
    swing,
)
from bench.requests.variants import (
    Baseline,
    DirectShares,
    Dispatchers,
    LeastInFlight,
    UnboundedDispatchers,
)

SEED = 1
VARIANTS = MappingProxyType(
    {
        'dispatcher': Dispatchers,
        'direct': DirectShares,
        'baseline': Baseline,
        'least_in_flight': LeastInFlight,
    }
)


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
    paid_ratio('paying_flooder', Dispatchers, seed, OTHER_PAID)
    swing('unbounded', UnboundedDispatchers, seed)
    overload('unbounded', UnboundedDispatchers, seed)
    fixed_concurrency(SERVICES[0], SHARES, seed)
    decision_cost(seed)
    show('bench_duration_s', perf_counter() - started)


if __name__ == '__main__':
    main()
