"""Proposals and consistency checks for tests of publications."""

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


def make_proposal(change, base, slots=3):
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
    """Return the change ids of all heads that the store accepted."""
    heads = [content for key, content in store.log if key == HEAD_KEY]
    return [json.loads(content)['change_id'] for content in heads]


def assert_versions_rise(store):
    heads = [content for key, content in store.log if key == HEAD_KEY]
    versions = [json.loads(content)['version'] for content in heads]
    for earlier, later in pairwise(versions):
        assert_that(later, Equals(earlier + 1))


def assert_result_matches_store(accepted, change, answer):
    """Check the publisher's result against the accepted changes."""
    assert_that(accepted.count(change) <= 1, Equals(True))
    if answer.is_ok():
        assert_that(accepted, Contains(change))
    elif answer.error.kind is not PublishErrorKind.OUTCOME_UNKNOWN:
        assert_that(accepted, Not(Contains(change)))


async def assert_next_publish_succeeds(store):
    """Publish as another operator and check that the history has no gap.

    Returns the change ids of the history, oldest first.
    """
    current = (await read_current(store)).ok
    base = current.head.version if current else 0
    answer = await publish(store, make_proposal('next', base, slots=6))
    assert_that(answer.is_ok(), Equals(True))
    heads = (await read_history(store, HISTORY_LIMIT)).ok
    versions = [head.version for head in heads]
    assert_that(versions, Equals(list(range(base + 1, 0, -1))))
    return [head.change_id for head in reversed(heads)]


async def assert_intact(store, change, answer):
    """Check the contents of a fake store after the fault has ended."""
    assert_result_matches_store(accepted_changes(store), change, answer)
    history = await assert_next_publish_succeeds(store)
    assert_that(accepted_changes(store), Equals(history))
    assert_versions_rise(store)
