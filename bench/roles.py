"""Memory and processor time of single roles at the size to design for."""

import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

from laburnumyard.core import ownership, requests
from laburnumyard.core.errors import Ran
from laburnumyard.core.ids import DaemonName, Incarnation, Seconds, Version
from laburnumyard.core.keys import HASH_SPACE, HashRange, hash_key, split_evenly
from laburnumyard.core.routing import RoutingTable
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


def meter_lines(assignment: Assignment) -> Iterator[str]:
    """Yield what a planner's load table costs a round."""
    loads = tuple(
        RangeLoad(owned.start, owned.last, 10, 20, owned.start, 1)
        for owned in assignment.ranges
    )
    report = LoadReport('catalogue', loads)
    planner = ownership.LoadPlanner()
    planner.record(report)
    started = time.perf_counter()
    planner.table.roll(assignment, Seconds(1))
    taken = time.perf_counter() - started
    yield f'planner.roll_ms_for_{RANGES}_ranges={taken * 1000:.0f}'


def main() -> None:
    """Print one line for each figure."""
    assignment = make_assignment()
    for lines in (
        ledger_lines(),
        table_lines(assignment),
        meter_lines(assignment),
    ):
        sys.stdout.writelines(f'{line}\n' for line in lines)


if __name__ == '__main__':
    main()
