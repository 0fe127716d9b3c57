import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clients import FailureKind
from laburnumyard.transport._target_parser import (
    MAX_HEAD_BYTES,
    ResponseParser,
    ResponseState,
)

MAX_BODY_BYTES = 1000
WHOLE = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\nX-Mixed: Case\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nx-mixed: Case\r\ntransfer-encoding: chunked\r\n\r\n'
    b'1\r\nb\r\n3\r\nody\r\n0\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nx-mixed: Case\r\ncontent-length: 4\r\n\r\nbody',
)


@pytest.fixture
def parser():
    waiting = ResponseParser(MAX_BODY_BYTES)
    waiting.expect(is_head=False)
    return waiting


def feed_in_parts(parser, received, size):
    state = parser.state
    for start in range(0, len(received), size):
        state = parser.feed(received[start : start + size])
    return state


@pytest.mark.parametrize('received', WHOLE)
@pytest.mark.parametrize('size', [1, 7, 10_000])
def test_whole_answers_in_any_parts(parser, received, size):
    state = feed_in_parts(parser, received, size)
    response = parser.take()
    assert_that(state, Is(ResponseState.WHOLE))
    assert_that(response.status, Equals(200))
    assert_that(response.body, Equals(b'body'))
    assert_that(response.header('x-mixed'), Equals('Case'))
    assert_that(response.header('link'), Equals(''))
    assert_that(parser.is_reusable, Is(True))


@pytest.mark.parametrize('received', WHOLE)
def test_no_proper_prefix_is_whole(received):
    ends = range(len(received))
    for prefix in map(received.__getitem__, map(slice, ends)):
        waiting = ResponseParser(MAX_BODY_BYTES)
        waiting.expect(is_head=False)
        assert_that(waiting.feed(prefix), Is(ResponseState.WAITING))


@pytest.mark.parametrize(
    ('received', 'kind'),
    [
        (b'garbage\r\n\r\n', FailureKind.MALFORMED),
        (b'HTTP/1.1 99 No\r\n\r\n', FailureKind.MALFORMED),
        (b'HTTP/1.1 20 OK\r\n\r\n', FailureKind.MALFORMED),
        (b'HTTP/1.1 2000 OK\r\n\r\n', FailureKind.MALFORMED),
        (b'HTTP/1.1 -200 OK\r\n\r\n', FailureKind.MALFORMED),
        (b'HTTP/1.1 000 X\r\n\r\n', FailureKind.INVALID_STATUS),
        (b'HTTP/1.1 001 X\r\n\r\n', FailureKind.INVALID_STATUS),
        # Without a reason phrase.
        (b'HTTP/1.1 099\r\n\r\n', FailureKind.INVALID_STATUS),
        (b'HTTP/1.1 600\r\n\r\n', FailureKind.INVALID_STATUS),
        (b'HTTP/1.1 799 X\r\n\r\n', FailureKind.INVALID_STATUS),
        (b'HTTP/1.1 999 X\r\n\r\n', FailureKind.INVALID_STATUS),
        (b'HTTP/1.1 101 X\r\n\r\n', FailureKind.INVALID_STATUS),
        (
            b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n\r\n',
            FailureKind.INVALID_STATUS,
        ),
        # The rest of the head does not have to arrive.
        (b'HTTP/1.1 999 X\r\n', FailureKind.INVALID_STATUS),
        (
            b'HTTP/1.1 103 X\r\ncontent-length: 4\r\n\r\nbody',
            FailureKind.MALFORMED,
        ),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
            FailureKind.MALFORMED,
        ),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n'
            b'content-length: 5\r\n\r\n',
            FailureKind.MALFORMED,
        ),
        (
            b'HTTP/1.1 101 Switching\r\nupgrade: x\r\n'
            b'connection: upgrade\r\n\r\n',
            FailureKind.INVALID_STATUS,
        ),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n%s'
            % bytes(MAX_BODY_BYTES + 1),
            FailureKind.TOO_LARGE,
        ),
        (
            b'HTTP/1.1 200 OK\r\nx: %s' % (b'y' * MAX_HEAD_BYTES),
            FailureKind.TOO_LARGE,
        ),
        (
            b'HTTP/1.1 200 OK\r\n%s' % (b'x: yyyyyyyy\r\n' * 8000),
            FailureKind.TOO_LARGE,
        ),
    ],
)
def test_bad_answers_fail_for_good(parser, received, kind):
    assert_that(parser.feed(received), Is(ResponseState.FAILED))
    assert_that(parser.failure, Is(kind))
    assert_that(parser.is_reusable, Is(False))
    assert_that(parser.feed(WHOLE[0]), Is(ResponseState.FAILED))


@pytest.mark.parametrize('size', [1, 7, 10_000])
@pytest.mark.parametrize('status', [b'000', b'101', b'600'])
def test_invalid_statuses_fail_in_any_parts(parser, status, size):
    received = b'HTTP/1.1 %b X\r\ncontent-length: 4\r\n\r\nbody' % status
    state = feed_in_parts(parser, received, size)
    assert_that(state, Is(ResponseState.FAILED))
    assert_that(parser.failure_detail, Equals(f'status {status.decode()}'))
    assert_that(parser.memory.used_bytes, Equals(0))


def test_invalid_status_fails_after_head():
    waiting = ResponseParser(MAX_BODY_BYTES)
    waiting.expect(is_head=True)
    state = waiting.feed(b'HTTP/1.1 000 X\r\ncontent-length: 4\r\n\r\n')
    assert_that(state, Is(ResponseState.FAILED))


def test_second_answer_spoils_the_connection_but_not_the_first(parser):
    state = parser.feed(WHOLE[0] + WHOLE[0])
    assert_that(state, Is(ResponseState.WHOLE))
    assert_that(parser.take().body, Equals(b'body'))
    assert_that(parser.is_reusable, Is(False))


def test_answer_without_a_request_fails():
    idle = ResponseParser(MAX_BODY_BYTES)
    assert_that(idle.feed(WHOLE[0]), Is(ResponseState.FAILED))
    assert_that(idle.is_reusable, Is(False))


def test_answer_that_ends_with_the_connection_is_never_whole(parser):
    state = parser.feed(b'HTTP/1.1 200 OK\r\nx: y\r\n\r\nsome')
    assert_that(state, Is(ResponseState.WAITING))


def test_answer_to_head_has_no_body():
    waiting = ResponseParser(MAX_BODY_BYTES)
    for _ in range(2):
        waiting.expect(is_head=True)
        state = waiting.feed(b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n')
        assert_that(state, Is(ResponseState.WHOLE))
        assert_that(waiting.take().body, Equals(b''))
    waiting.expect(is_head=False)
    assert_that(waiting.feed(WHOLE[0]), Is(ResponseState.WHOLE))


def test_closing_answer_is_whole_but_not_reusable(parser):
    state = parser.feed(
        b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n',
    )
    assert_that(state, Is(ResponseState.WHOLE))
    assert_that(parser.is_reusable, Is(False))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(WHOLE),
    st.lists(st.tuples(st.integers(0, 120), st.binary(max_size=6))),
    st.integers(1, 40),
)
def test_no_mutation_crashes_the_parser(received, edits, size):
    mutated = received
    for place, inserted in edits:
        mutated = mutated[:place] + inserted + mutated[place + 1 :]
    waiting = ResponseParser(MAX_BODY_BYTES)
    waiting.expect(is_head=False)
    state = feed_in_parts(waiting, mutated, size)
    if not edits:
        assert_that(state, Is(ResponseState.WHOLE))
    assert_that(len(waiting.body) <= MAX_BODY_BYTES, Is(True))
