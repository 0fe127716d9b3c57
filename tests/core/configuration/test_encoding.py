from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.core import configuration as api


@pytest.fixture
def published(configuration):
    files = api.encode_configuration(configuration).files
    head = api.ConfigurationHead(
        3, files, 'id-3', 'ana', '2026-12-04', 'spring'
    )
    return api.PublishedConfiguration(head, configuration)


def test_chunks_give_the_same_configuration(configuration):
    decoded = api.decode_configuration(
        api.encode_configuration(configuration)
    ).ok
    assert_that(decoded.files, Equals(configuration.files))
    assert_that(api.difference(configuration, decoded), Equals(()))


def test_large_files_are_cut(objects):
    long_comment = 'é' * api.CHUNK_BYTES
    text = f'{objects}\n# {long_comment}'
    encoded = api.encode_configuration(
        api.parse_objects({'a': text, 'b': ''}).ok
    )
    sizes = [len(chunk) for chunk in encoded.chunks.values()]
    assert_that(max(sizes), Equals(api.CHUNK_BYTES))
    assert_that(api.decode_configuration(encoded).ok.files['a'], Equals(text))


def test_missing_and_damaged_chunks_are_refused(configuration):
    encoded = api.encode_configuration(configuration)
    missing = replace(encoded, chunks={})
    damaged = replace(encoded, chunks=dict.fromkeys(encoded.chunks, b'x'))
    for broken, word in ((missing, 'missing'), (damaged, 'damaged')):
        problems = api.decode_configuration(broken).error
        assert_that(problems[0].remedy, Contains(word))


def test_heads_survive_the_store(published):
    head = published.head
    assert_that(api.decode_head(api.encode_head(head)).ok, Equals(head))


@pytest.mark.parametrize('content', [b'', b'{}', b'[' * 9000, b'\xff', b'3'])
def test_bytes_that_are_no_head(content):
    assert_that(api.decode_head(content).is_error(), Is(True))
    assert_that(api.decode_published(content).is_error(), Is(True))


def test_peers_get_the_whole(published):
    decoded = api.decode_published(api.encode_published(published)).ok
    assert_that(decoded.head, Equals(published.head))


def test_a_peer_can_not_swap_the_documents(published, objects):
    other = api.parse_objects({'lima.toml': f'{objects}# more'}).ok
    forged = api.encode_published(replace(published, configuration=other))
    problems = api.decode_published(forged).error
    assert_that(problems[0].remedy, Contains('do not match'))
