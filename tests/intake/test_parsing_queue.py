"""Turns of parsing, without a network.

The patterns are those of callers whose bytes cost many calls of the parser:
many connections with short header lines, or with bodies in chunks of one byte.
"""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from laburnumyard.intake import ParsingQueue

pytestmark = pytest.mark.anyio
MAX_CALLS = 16_384


class Backlog:
    """Received bytes that take some calls of the parser."""

    def __init__(self, calls, parsed, *, is_costly=False):
        self.calls = calls
        self.parsed = parsed
        self.is_costly = is_costly
        self.done = 0
        self.cut_for = None
        self.transport = None

    @property
    def has_backlog(self):
        return self.done < self.calls and self.cut_for is None

    @property
    def costly_calls(self):
        return self.done + 1 if self.is_costly else 0

    def parse_some(self, most_calls):
        number = min(most_calls, self.calls - self.done)
        self.done += number
        self.parsed.append((self, number))
        return number

    def cut(self, reason):
        self.cut_for = reason

    def abort(self):
        self.cut_for = 'aborted'


class BrokenBacklog(Backlog):
    """Bytes whose connection ends while they are parsed."""

    def parse_some(self, most_calls):
        self.abort()
        return 0


@pytest.fixture
async def queue():
    return ParsingQueue()


def run_turns(queue):
    """Run all turns; return the calls of each."""
    calls = []
    while queue.waiting:
        before = sum(each.done for each in queue.waiting)
        members = list(queue.waiting)
        queue.turn.cancel()
        queue.run_turn()
        calls.append(sum(each.done for each in members) - before)
    return calls


# Sixty callers with a body of 2 MB in chunks of one byte asked for so many
# calls at once that nobody else was answered.
async def test_the_calls_of_a_turn_do_not_grow_with_the_connections(queue):
    parsed = []
    for _ in range(60):
        queue.add(Backlog(40_000, parsed))
    turns = run_turns(queue)
    assert_that(max(turns), LessThan(MAX_CALLS))
    assert_that(sum(turns), Equals(60 * 40_000))


async def test_a_small_backlog_is_not_behind_large_ones(queue):
    parsed = []
    for _ in range(20):
        queue.add(Backlog(100_000, parsed))
    small = Backlog(100, parsed)
    queue.add(small)
    while small.has_backlog:
        queue.turn.cancel()
        queue.run_turn()
    # Each of the others had one turn of at most some thousand calls.
    assert_that(sum(number for _, number in parsed), LessThan(50_000))


async def test_of_many_costly_bodies_the_costliest_are_refused(queue):
    parsed = []
    costly = [Backlog(100_000, parsed, is_costly=True) for _ in range(20)]
    for number, backlog in enumerate(costly):
        backlog.done = number
        queue.add(backlog)
    refused = [each for each in costly if each.cut_for == 'small-parts']
    assert_that(refused, Equals(costly[8:]))


# A single body in many small chunks is inside the limits.
async def test_a_single_costly_body_is_parsed_to_its_end(queue):
    backlog = Backlog(1_000_000, [], is_costly=True)
    queue.add(backlog)
    run_turns(queue)
    assert_that((backlog.done, backlog.cut_for), Equals((1_000_000, None)))


async def test_costly_bodies_do_not_displace_others(queue):
    parsed = []
    plain = [Backlog(2000, parsed) for _ in range(30)]
    for backlog in plain:
        queue.add(backlog)
    for _ in range(30):
        queue.add(Backlog(100_000, parsed, is_costly=True))
    run_turns(queue)
    assert_that([each.cut_for for each in plain], Equals([None] * 30))


async def test_a_connection_that_ends_in_its_turn_gets_no_other(queue):
    queue.add(BrokenBacklog(100, []))
    run_turns(queue)
    assert_that(queue.waiting, HasLength(0))


async def test_a_connection_that_has_ended_is_forgotten(queue):
    backlog = Backlog(100, [])
    queue.add(backlog)
    queue.watch(backlog)
    queue.discard(backlog)
    queue.discard(backlog)
    await anyio.wait_all_tasks_blocked()
    assert_that(backlog.done, Equals(0))
    assert_that(queue.unread, HasLength(0))
