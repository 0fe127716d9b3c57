"""What tests of publications share: proposals, and an observer's checks."""

import json
from itertools import pairwise

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from laburnumyard.clients.publication import (
    Proposal,
    PublishErrorKind,
    publish,
    read_current,
    read_history,
)
from laburnumyard.core.configuration import HEAD_KEY, parse_objects
from tests.core.configuration.conftest import OBJECTS

HISTORY_LIMIT = 20


def propose(change, base, slots=3):
    text = OBJECTS.replace(":8002'", f":8002'\nslots = {slots}")
    return Proposal(
        parse_objects({'lima.toml': text}).ok,
        base,
        change_id=change,
        author=f'author of {change}',
        time='2026-12-04T04:33:00+00:00',
        note='spring',
    )


def accepted_changes(store):
    """Return the change ids that the store itself has seen in force."""
    heads = [content for key, content in store.log if key == HEAD_KEY]
    return [json.loads(content)['change_id'] for content in heads]


def assert_versions_rise(store):
    heads = [content for key, content in store.log if key == HEAD_KEY]
    versions = [json.loads(content)['version'] for content in heads]
    for earlier, later in pairwise(versions):
        assert_that(later, Equals(earlier + 1))


def assert_told_true(accepted, change, answer):
    """Compare what a publisher was told with what was ever in force."""
    assert_that(accepted.count(change) <= 1, Equals(True))
    if answer.is_ok():
        assert_that(accepted, Contains(change))
    elif answer.error.kind is not PublishErrorKind.OUTCOME_UNKNOWN:
        assert_that(accepted, Not(Contains(change)))


async def assert_next_goes_on(store):
    """Let another operator publish, and find one history without a gap.

    Gives the changes that were ever in force, the oldest first.
    """
    current = (await read_current(store)).ok
    base = current.head.version if current else 0
    answer = await publish(store, propose('next', base, slots=6))
    assert_that(answer.is_ok(), Equals(True))
    heads = (await read_history(store, HISTORY_LIMIT)).ok
    versions = [head.version for head in heads]
    assert_that(versions, Equals(list(range(base + 1, 0, -1))))
    return [head.change_id for head in reversed(heads)]


async def assert_intact(store, change, answer):
    """Check a store in memory, as an outsider, once the fault has ended."""
    assert_told_true(accepted_changes(store), change, answer)
    history = await assert_next_goes_on(store)
    assert_that(accepted_changes(store), Equals(history))
    assert_versions_rise(store)
