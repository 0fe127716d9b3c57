import json
from itertools import cycle

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from laburnumyard.core.key_hashing import HASH_SPACE, HashRange, split_evenly
from laburnumyard.core.ownership import (
    Head,
    Scope,
    assemble,
    decode_head,
    encode_head,
    needs_manager,
    split_assignment,
)
from laburnumyard.core.ownership._chunks import MAX_CHUNK_BYTES, new_chunks
from laburnumyard.core.ownership._ranges import owned_range, reassigned
from laburnumyard.schema._generated.messages import Assignment
from laburnumyard.schema._generated.settings import StoreSettings

WHOLE = HashRange(0, HASH_SPACE)
PARTS = split_evenly(WHOLE, 3000)
# A change must fit into one burst of the daemon's budget of store calls.
MAX_WRITES = StoreSettings(address='127.0.0.1:1').call_burst - 8


@pytest.fixture
def assignment():
    return Assignment(
        'orders',
        tuple(
            owned_range(part, f'target-{number}')
            for part, number in zip(PARTS, cycle(range(40)))
        ),
    )


def head_of(chunks, **fields):
    digests = tuple(chunk.digest for chunk in chunks)
    return Head(version=4, change='d/1/x/9', chunks=digests, **fields)


def test_head_survives_its_encoding():
    scope = Scope(7, 'daemon-1', 3, 'daemon-1/3/lima-1/4')
    head = head_of((), scopes={'lima-1': scope}, withdrawn=('target-1',))
    assert_that(decode_head(encode_head(head)).ok, Equals(head))


@pytest.mark.parametrize(
    'change',
    [
        {'version': -1},
        {'version': '4'},
        {'version': 1 << 80},
        {'change': ''},
        {'chunks': ['../../config/head']},
        {'chunks': 5},
        {'scopes': {'lima-1': {'term': 1}}},
        {'scopes': []},
        {'withdrawn': [7]},
        {'surprise': 1},
    ],
)
def test_malformed_heads_are_refused_by_the_field(change):
    content = json.loads(encode_head(head_of(())))
    content.update(change)
    result = decode_head(json.dumps(content).encode())
    assert_that(next(iter(change)) in result.error.detail, Is(True))


@pytest.mark.parametrize('content', [b'', b'\xff', b'[]', b'{"version":'])
def test_bytes_that_are_no_head_are_refused(content):
    assert_that(decode_head(content).is_error(), Is(True))


def test_chunks_put_together_are_the_assignment(assignment):
    chunks = split_assignment(assignment)
    contents = {chunk.digest: chunk.content for chunk in chunks}
    result = assemble('orders', head_of(chunks), contents)
    assert_that(result.ok, Equals(assignment))
    largest = max(len(chunk.content) for chunk in chunks)
    assert_that(largest, LessThan(MAX_CHUNK_BYTES))


@pytest.mark.parametrize(
    ('live', 'is_needed'),
    [
        ({}, True),
        ({'daemon-1': 3}, False),
        ({'daemon-1': 4}, True),
        ({'daemon-1': 0}, False),
        ({'daemon-2': 3}, True),
    ],
)
def test_a_scope_needs_a_manager_that_runs(live, is_needed):
    scope = Scope(7, 'daemon-1', 3, 'daemon-1/3/lima-1/4')
    assert_that(needs_manager(scope, live), Equals(is_needed))
    assert_that(needs_manager(None, live), Equals(True))


def test_a_move_rewrites_one_chunk(assignment):
    chunks = split_assignment(assignment)
    moved = reassigned(assignment, {PARTS[1700]: 'target-1'})
    fresh = new_chunks(split_assignment(moved), head_of(chunks))
    assert_that(fresh, HasLength(1))


@pytest.mark.parametrize(
    ('count', 'writes'),
    [(3000, MAX_WRITES), (25_600, MAX_WRITES), (262_144, MAX_WRITES)],
)
def test_a_change_of_every_part_takes_few_writes(count, writes):
    parts = split_evenly(WHOLE, count)
    ranges = tuple(owned_range(part, 'target-1') for part in parts)
    chunks = split_assignment(Assignment('orders', ranges))
    largest = max(len(chunk.content) for chunk in chunks)
    assert_that(len(chunks), LessThan(writes + 1))
    assert_that(largest, LessThan(MAX_CHUNK_BYTES))


@pytest.mark.parametrize('damage', ['missing', 'changed', 'other', 'long'])
def test_damaged_chunks_are_refused(assignment, damage):
    chunks = split_assignment(assignment)
    contents = {chunk.digest: chunk.content for chunk in chunks}
    first = chunks[0].digest
    wrong = {
        'changed': b'x',
        'long': bytes(MAX_CHUNK_BYTES + 1),
        'other': chunks[1].content,
    }
    contents.pop(first)
    if damage != 'missing':
        contents[first] = wrong[damage]
    result = assemble('orders', head_of(chunks), contents)
    assert_that(first in result.error.detail, Is(True))


def test_overlapping_ranges_are_refused():
    halves = (HashRange(0, 60), HashRange(40, 100))
    ranges = tuple(owned_range(part, 'target-1') for part in halves)
    chunks = split_assignment(Assignment('orders', ranges))
    contents = {chunk.digest: chunk.content for chunk in chunks}
    result = assemble('orders', head_of(chunks), contents)
    assert_that('overlap' in result.error.detail, Is(True))
