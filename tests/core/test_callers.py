import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.core.caller_requests import RequestHead, parse_head
from laburnumyard.core.errors import ErrorKind
from laburnumyard.schema._generated.settings import LimitSettings

LIMITS = LimitSettings()
KEY = (b'laburnumyard-key', b'bench-17')


def parse(*headers, method='GET', path='/catalogue/benches?page=2'):
    head = RequestHead(method, path, headers)
    return parse_head(head, 'r-1', LIMITS)


def test_head_of_a_read_is_understood():
    request = parse(KEY, (b'accept', b'*/*'), (b'host', b'x')).ok
    assert_that(request.service, Equals('catalogue'))
    assert_that(request.operation, Equals('benches'))
    assert_that(request.repeatable, Is(True))
    assert_that(request.headers, Equals((('accept', '*/*'),)))
    assert_that(request.timeout, Equals(LIMITS.deadline_default_s))


@pytest.mark.parametrize(
    'path',
    ['/catalogue/a.b/..c/.d', '/catalogue/%C3%81rea?a=../b', '/catalogue/%2f'],
)
def test_paths_that_only_look_odd_are_taken(path):
    assert_that(parse(KEY, path=path).ok.path, Equals(path))


def test_post_is_not_repeatable_unless_it_says_so():
    assert_that(parse(KEY, method='POST').ok.repeatable, Is(False))
    stated = parse(KEY, (b'laburnumyard-repeatable', b'yes'), method='POST')
    assert_that(stated.ok.repeatable, Is(True))


@pytest.mark.parametrize(
    ('headers', 'method', 'kind', 'part'),
    [
        ((), 'GET', ErrorKind.BAD_REQUEST, 'laburnumyard-key'),
        ((KEY,), 'TRACE', ErrorKind.BAD_REQUEST, 'TRACE'),
        (
            (KEY, (b'laburnumyard-deadline-ms', b'-5')),
            'GET',
            ErrorKind.BAD_REQUEST,
            '-5',
        ),
        (
            (KEY, (b'laburnumyard-deadline-ms', b'99999999')),
            'GET',
            ErrorKind.BAD_REQUEST,
            '99999999',
        ),
        (
            (KEY, (b'laburnumyard-repeatable', b'maybe')),
            'GET',
            ErrorKind.BAD_REQUEST,
            'maybe',
        ),
        (
            (KEY, (b'content-length', b'99999999')),
            'POST',
            ErrorKind.BODY_TOO_LARGE,
            '99999999',
        ),
        (
            (KEY, (b'content-length', b'9' * 5000)),
            'POST',
            ErrorKind.BODY_TOO_LARGE,
            'bytes',
        ),
        (
            (KEY, KEY),
            'GET',
            ErrorKind.BAD_REQUEST,
            'laburnumyard-key',
        ),
        (
            (KEY, (b'x-filler', b'x' * 20000)),
            'GET',
            ErrorKind.HEADERS_TOO_LARGE,
            '16384',
        ),
    ],
)
def test_bad_heads_get_their_kind_and_name_the_value(
    headers,
    method,
    kind,
    part,
):
    failure = parse(*headers, method=method).error
    assert_that(failure.kind, Is(kind))
    assert_that(failure.detail, Contains(part))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                (
                    b'laburnumyard-key',
                    b'laburnumyard-deadline-ms',
                    b'laburnumyard-repeatable',
                    b'content-length',
                    b'authorization',
                )
            ),
            st.binary(max_size=40),
        ),
        max_size=6,
    ),
    st.text(max_size=30),
)
def test_no_head_raises(headers, path):
    outcome = parse(*headers, path=path)
    assert_that(outcome.is_ok() or outcome.is_error(), Is(True))
