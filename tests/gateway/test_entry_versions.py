"""Entries of targets after the store came back from an older copy."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is

from laburnumyard.core.ids import DataCentre, Seconds, ServiceName, TargetId
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
from laburnumyard.gateway._entry_versions import EntryVersions
from laburnumyard.gateway._store_revision import revision_in

NAME = TargetId('one')


def record(sequence, started=1000):
    return TargetRecord(
        TargetLife(NAME, started),
        ServiceName('catalogue'),
        '10.0.0.1:80',
        DataCentre('lima-a'),
        3,
        TargetState.READY,
        Seconds(0),
        sequence,
    )


@pytest.fixture
def versions():
    known = EntryVersions()
    known.record(record(40), revision_in(1, 90))
    return known


def is_outdated(versions, entry, era=2, is_from_peer=False):
    revision = revision_in(era, 70)
    return versions.is_outdated(entry, revision, is_from_peer=is_from_peer)


@pytest.mark.parametrize('sequence', [33, 39])
def test_an_entry_of_the_copy_is_outdated(versions, sequence):
    assert_that(is_outdated(versions, record(sequence)), Is(True))


@pytest.mark.parametrize('sequence', [40, 41])
def test_an_entry_that_was_written_again_is_current(versions, sequence):
    assert_that(is_outdated(versions, record(sequence)), Is(False))


def test_within_an_era_a_later_revision_is_a_later_write(versions):
    assert_that(is_outdated(versions, record(2), era=1), Is(False))


def test_a_later_start_is_current(versions):
    assert_that(is_outdated(versions, record(1, 2000)), Is(False))


# The copy may be from between the last read of an entry and its removal.
@pytest.mark.parametrize('sequence', [33, 40, 45])
def test_a_removed_target_is_current_once_it_writes_again(versions, sequence):
    versions.record_removal(NAME, revision_in(1, 95))
    assert_that(is_outdated(versions, record(sequence)), Is(True))
    assert_that(is_outdated(versions, record(sequence)), Is(True))
    assert_that(is_outdated(versions, record(sequence + 1)), Is(False))


def test_a_peer_has_seen_a_removed_target_write_again(versions):
    versions.record_removal(NAME, revision_in(1, 95))
    entry = record(45)
    assert_that(is_outdated(versions, entry, is_from_peer=True), Is(False))


def test_a_target_that_is_missing_after_the_return_comes_back(versions):
    versions.record_removal(NAME, revision_in(2, 71))
    assert_that(is_outdated(versions, record(41)), Is(False))


# A time of day that was set back makes a restarted target look like an old one.
def test_a_start_with_an_earlier_time_is_current_once_it_goes_on(versions):
    assert_that(is_outdated(versions, record(3, 500)), Is(True))
    assert_that(is_outdated(versions, record(4, 500)), Is(False))
