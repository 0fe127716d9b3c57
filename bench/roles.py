"""Memory and processor time of single roles at the size to design for."""

import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

from laburnumyard.core import ownership, requests
from laburnumyard.core.errors import Ran
from laburnumyard.core.ids import DaemonName, Incarnation, Seconds, Version
from laburnumyard.core.key_hashing import (
    HASH_SPACE,
    HashRange,
    hash_key,
    split_evenly,
)
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.schema._generated.messages import (
    Assignment,
    LoadReport,
    OwnedRange,
    RangeLoad,
)
from laburnumyard.schema._generated.settings import LimitSettings

TICKETS = 50_000
ANSWER = b'x' * 512
RANGES = 25_600
TARGETS = 200
REPORT_RANGES = 256
ROUND_S = 12
ROUNDS = 6
LOOKUPS = 20_000
BYTES_PER_MB = 1_000_000
US_PER_S = 1_000_000


def measure(work: Callable[[], object]) -> tuple[float, float, object]:
    """Return seconds and megabytes that a piece of work takes and keeps."""
    started = time.perf_counter()
    work()
    taken = time.perf_counter() - started
    tracemalloc.start()
    kept = work()
    size = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    tracemalloc.stop()
    return taken, size, kept


def fill_ledger() -> requests.TicketLedger:
    """Issue, run and finish as many tickets as the ledger holds."""
    ledger = requests.TicketLedger(
        DaemonName('vm-1'), Incarnation(1), LimitSettings(tickets=TICKETS)
    )
    for number in range(TICKETS):
        ticket = ledger.issue(number, Seconds(1))
        ledger.submit(ticket, b'fingerprint-0123', Seconds(1))
        ledger.finish(ticket, Ran.RAN, ANSWER)
    return ledger


def make_assignment() -> Assignment:
    """Return the ranges of one large service."""
    parts = split_evenly(HashRange(0, HASH_SPACE), RANGES)
    owned = (
        OwnedRange(part.start, part.stop - 1, f'target-{place % TARGETS}')
        for place, part in enumerate(parts)
    )
    return Assignment('catalogue', tuple(owned))


def ledger_lines() -> Iterator[str]:
    """Yield what tickets cost."""
    taken, size, _ = measure(fill_ledger)
    yield f'ledger.us_per_ticket={taken / TICKETS * US_PER_S:.1f}'
    yield f'ledger.mb_for_{TICKETS}_tickets_of_{len(ANSWER)}_bytes={size:.1f}'


def table_lines(assignment: Assignment) -> Iterator[str]:
    """Yield what a routing table costs beside its assignment."""
    version = Version(1)
    taken, size, table = measure(lambda: RoutingTable(assignment, version))
    yield f'table.build_ms={taken * 1000:.1f}'
    yield f'table.mb_beside_{RANGES}_ranges={size:.2f}'
    key_hash = hash_key('bench-17')
    started = time.perf_counter()
    for _ in range(LOOKUPS):
        table.owner(key_hash)
    taken = time.perf_counter() - started
    yield f'table.us_per_lookup={taken / LOOKUPS * US_PER_S:.2f}'


def make_plan() -> ownership.ServicePlan:
    """Return the plan of that service."""
    names = tuple(f'target-{number}' for number in range(TARGETS))
    kinds = {name: ownership.FencedTarget('lima-1', slots=3) for name in names}
    span = ownership.KeyRangePlan(HashRange(0, HASH_SPACE), names)
    return ownership.ServicePlan('catalogue', (span,), kinds, RANGES // TARGETS)


def make_reports(assignment: Assignment) -> list[LoadReport]:
    """Return a report of each dispatcher; one target is busier by far."""
    loads = [
        RangeLoad(owned.start, owned.last, 40, busy_ms(owned), owned.start, 4)
        for owned in assignment.ranges
    ]
    return [
        LoadReport('catalogue', tuple(loads[place : place + REPORT_RANGES]))
        for place in range(0, RANGES, REPORT_RANGES)
    ]


def busy_ms(owned: OwnedRange) -> int:
    """Return how long a range keeps its target busy between two rounds."""
    return 2000 if owned.target == 'target-7' else 40


def steps(planning: ownership.PlanningRound, now: Seconds) -> Iterator[float]:
    """Yield the seconds that each step of a planner's round takes."""
    while not planning.is_done:
        started = time.perf_counter()
        planning.advance(now)
        yield time.perf_counter() - started


def planner_lines(assignment: Assignment) -> Iterator[str]:
    """Yield what a planner's round costs, and its longest step."""
    planner = ownership.LoadPlanner()
    head = ownership.Head(Version(1), 'bench', ())
    snapshot = ownership.Snapshot(head, assignment, 1)
    plan = make_plan()
    reports = make_reports(assignment)
    for now in map(Seconds, range(ROUND_S, ROUNDS * ROUND_S, ROUND_S)):
        started = time.perf_counter()
        for report in reports:
            planner.record(report)
        recorded = time.perf_counter() - started
        started = time.perf_counter()
        planning = ownership.PlanningRound(planner, snapshot, plan, now)
        taken = [time.perf_counter() - started, *steps(planning, now)]
    yield f'planner.record_ms_for_{RANGES}_ranges={recorded * 1000:.1f}'
    yield f'planner.round_ms_for_{RANGES}_ranges={sum(taken) * 1000:.1f}'
    yield f'planner.steps_a_round={len(taken)}'
    yield f'planner.longest_step_ms={max(taken) * 1000:.1f}'


def main() -> None:
    """Print one line for each figure."""
    assignment = make_assignment()
    for lines in (
        ledger_lines(),
        table_lines(assignment),
        planner_lines(assignment),
    ):
        sys.stdout.writelines(f'{line}\n' for line in lines)


if __name__ == '__main__':
    main()
