from collections import deque
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.control.store import make_document, read_head
from laburnumyard.core import dissemination
from laburnumyard.schema._generated import messages

NAME = dissemination.DocumentName('config')
SMALL_PARTS = dissemination.DisseminationSettings(part_bytes=64)


def new_documents():
    documents = dissemination.Documents(SMALL_PARTS, read_head, lambda: 0.5)
    documents.handle(dissemination.NamesChanged((NAME,)), 0)
    return documents


def document_of(version):
    contents = (b'%d' % version * 100, bytes(range(256)) * 4)
    return make_document(NAME, version, contents)


def versions_message(version, confirmed=False):
    return messages.Versions(
        documents=(messages.DocumentVersion(NAME, version, confirmed, 5),),
        reply=False,
    )


@pytest.fixture
def holder():
    """Return documents that hold version 2, with version 1 in the history."""
    documents = new_documents()
    documents.handle(dissemination.Published(document_of(1)), 0)
    documents.handle(dissemination.Published(document_of(2)), 0)
    return documents


@pytest.fixture
def empty():
    return new_documents()


def unchanged_part(part):
    return part


def exchange(asker, answerer, effects, alter=unchanged_part):
    """Deliver messages between two, and return the asker's other effects."""
    rest = []
    waiting = deque(effects)
    while waiting:
        effect = waiting.popleft()
        message = getattr(effect, 'message', None)
        if isinstance(message, messages.FetchDocument):
            answers = answerer.handle(
                dissemination.FetchReceived('asker', message), 0
            )
            part = alter(answers[0].message)
            waiting.extend(
                asker.handle(dissemination.PartReceived('holder', part), 0)
            )
        else:
            rest.append(effect)
    return rest


def test_document_comes_part_by_part(empty, holder):
    asked = empty.handle(
        dissemination.VersionsReceived('holder', versions_message(2)), 0
    )
    effects = exchange(empty, holder, asked)
    assert_that(
        effects[0],
        Equals(dissemination.Adopt(document_of(2), dissemination.Source.PEER)),
    )


@pytest.mark.parametrize(
    ('confirmed', 'source'),
    [(True, dissemination.Source.READER), (False, dissemination.Source.PEER)],
)
def test_source_says_whether_a_reader_vouched(empty, holder, confirmed, source):
    asked = empty.handle(
        dissemination.VersionsReceived(
            'holder', versions_message(2, confirmed)
        ),
        0,
    )
    exchange(empty, holder, asked)
    assert_that(empty.source_of(NAME), Is(source))


def test_reader_vouches_later_for_a_version_of_a_peer(empty, holder):
    exchange(
        empty,
        holder,
        empty.handle(
            dissemination.VersionsReceived('holder', versions_message(2)), 0
        ),
    )
    empty.handle(
        dissemination.VersionsReceived(
            'reader', versions_message(2, confirmed=True)
        ),
        1,
    )
    assert_that(empty.source_of(NAME), Is(dissemination.Source.READER))


def test_damaged_patch_is_refused_and_the_whole_version_asked_for(
    empty, holder
):
    def alter(part):
        received.append(part)
        if len(received) > 1:
            return part
        return replace(part, content=b'\xff' * len(part.content))

    received = []
    asked = empty.handle(
        dissemination.VersionsReceived('holder', versions_message(2)), 0
    )
    effects = exchange(empty, holder, asked, alter)
    assert_that(isinstance(effects[0], dissemination.LogRejected), Is(True))
    assert_that(empty.find(NAME), Equals(document_of(2)))


@pytest.mark.parametrize(
    'change',
    [
        {'offset': 7},
        {'version': 9},
        {'patch_bytes': 1 << 30},
        {'patch_bytes': 1},
        {'content': b''},
        {'base_version': 77},
        {'name': 'unknown'},
    ],
    ids=str,
)
def test_part_that_does_not_fit_changes_nothing(empty, holder, change):
    asked = empty.handle(
        dissemination.VersionsReceived('holder', versions_message(2)), 0
    )
    fetch = asked[0].message
    part = holder.handle(dissemination.FetchReceived('asker', fetch), 0)[
        0
    ].message
    later = replace(part, offset=64, content=part.content)
    empty.handle(dissemination.PartReceived('holder', part), 0)
    empty.handle(
        dissemination.PartReceived('holder', replace(later, **change)), 0
    )
    empty.handle(dissemination.PartReceived('stranger', later), 0)
    assert_that(empty.find(NAME), Is(None))
    asked = empty.handle(dissemination.Tick(), 1)
    exchange(empty, holder, asked)
    assert_that(empty.find(NAME), Equals(document_of(2)))


def test_silent_source_is_followed_by_the_next(empty):
    empty.handle(
        dissemination.VersionsReceived('first', versions_message(2)), 0
    )
    empty.handle(
        dissemination.VersionsReceived('second', versions_message(2)), 0
    )
    effects = empty.handle(dissemination.Tick(), 1)
    asked = [one.daemon for one in effects if hasattr(one, 'daemon')]
    assert_that(asked[0], Equals('second'))


def test_version_that_changes_in_the_middle_is_fetched_anew(empty, holder):
    def alter(part):
        parts.append(part)
        if len(parts) == 2:
            holder.handle(dissemination.Published(document_of(3)), 0)
        return part

    parts = []
    asked = empty.handle(
        dissemination.VersionsReceived('holder', versions_message(2)), 0
    )
    exchange(empty, holder, asked, alter)
    assert_that(empty.find(NAME), Equals(document_of(3)))


def test_version_that_nobody_has_blocks_no_other(empty, holder):
    empty.handle(
        dissemination.VersionsReceived('liar', versions_message(2**64 - 1)), 0
    )
    empty.handle(
        dissemination.VersionsReceived('holder', versions_message(2)), 0
    )
    asked = empty.handle(dissemination.Tick(), 1)
    exchange(empty, holder, asked)
    assert_that(empty.find(NAME), Equals(document_of(2)))


def test_download_of_a_version_that_nobody_has_ends(empty):
    empty.handle(
        dissemination.VersionsReceived('liar', versions_message(2**64 - 1)), 0
    )
    for second in range(1, 20):
        empty.handle(dissemination.Tick(), second)
    assert_that(empty.state.entries[NAME].download, Is(None))


def test_newer_version_follows_at_once(empty, holder):
    asked = empty.handle(
        dissemination.VersionsReceived('holder', versions_message(2)), 0
    )
    empty.handle(
        dissemination.VersionsReceived('newer', versions_message(3)), 0
    )
    effects = exchange(empty, holder, asked)
    assert_that(empty.find(NAME), Equals(document_of(2)))
    fetches = [one for one in effects if isinstance(one, dissemination.Send)]
    assert_that(fetches, Equals([]))
    download = empty.state.entries[NAME].download
    assert_that(download.version, Equals(3))
    assert_that(download.sources[0], Equals('newer'))
