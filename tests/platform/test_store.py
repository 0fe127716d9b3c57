import json
from base64 import b64encode

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import (
    ConditionalWrite,
    SessionId,
    StoreFault,
)
from laburnumyard.platform._store_client import PlatformStore
from standins._serve import serving
from tests.gateway.conftest import FakeTarget, answer

pytestmark = pytest.mark.anyio
VALUE = b64encode(b'node-1').decode()
ITEM = {'key': 'my/leader', 'value': VALUE, 'revision': 412, 'created': 1}


class ScriptedStore:
    """Returns scripted responses in order and records the calls."""

    def __init__(self):
        self.answers = []
        self.calls = []

    async def __call__(self, scope, receive, send):
        body = (await receive())['body']
        query = scope['query_string'].decode()
        self.calls.append((scope['method'], scope['path'], query, body))
        status, content = self.answers.pop(0)
        await send(
            {'type': 'http.response.start', 'status': status, 'headers': []}
        )
        await send({'type': 'http.response.body', 'body': content})


@pytest.fixture
def script():
    return ScriptedStore()


@pytest.fixture
async def store(script):
    async with serving(script) as address:
        yield PlatformStore(address, Seconds(5))


def reply(status=200, **fields):
    return status, json.dumps(fields).encode()


async def test_an_item_is_read(script, store):
    script.answers = [reply(**ITEM, asOf=530)]
    read = (await store.read('my/leader')).ok
    assert_that((read.content, read.revision), Equals((b'node-1', 412)))


async def test_a_read_that_may_lag_says_so(script, store):
    """Such reads cost a tenth and do not count towards the rate limit."""
    script.answers = [reply(**ITEM), reply(**ITEM)]
    await store.read('my/leader')
    await store.read('my/leader', may_lag=True)
    asked = ['serializable=1' in query for _, _, query, _ in script.calls]
    assert_that(asked, Equals([False, True]))


async def test_a_missing_item_has_no_content(script, store):
    script.answers = [reply(404)]
    assert_that((await store.read('my/leader')).ok.content, Is(None))


async def test_all_pages_of_a_prefix_are_read(script, store):
    script.answers = [
        reply(items=[ITEM], morePages=True, asOf=530),
        reply(items=[{**ITEM, 'key': 'my/z'}], morePages=False, asOf=540),
    ]
    scanned = (await store.scan('my/')).ok
    keys = [item.key for item in scanned.items]
    assert_that(keys, Equals(['my/leader', 'my/z']))
    # A watch from this revision returns the changes since the first page.
    assert_that(scanned.revision, Equals(530))
    assert_that(script.calls[1][2], Equals('prefix=my%2F&after=my%2Fleader'))


async def test_changes_and_removals_are_watched(script, store):
    removed = {'key': 'my/old', 'revision': 413, 'removed': True}
    script.answers = [reply(events=[ITEM, removed], asOf=413)]
    watched = (await store.watch('my/', 411, Seconds(2))).ok
    contents = [item.content for item in watched.items]
    assert_that(contents, Equals([b'node-1', None]))
    assert_that(
        script.calls[0][2], Equals('prefix=my%2F&after=411&waitMs=2000')
    )


async def test_a_write_names_its_conditions_and_session(script, store):
    script.answers = [reply(revision=414)]
    write = ConditionalWrite({'a': 0, 'b': 9}, {'a': b'x'}, SessionId(77))
    assert_that((await store.compare_and_swap(write)).ok, Equals(414))
    sent = json.loads(script.calls[0][3])
    assert_that(
        sent,
        Equals(
            {
                'expectedRevision': [
                    {'key': 'a', 'revision': 0},
                    {'key': 'b', 'revision': 9},
                ],
                'puts': [{'key': 'a', 'value': 'eA==', 'lease': 77}],
                'remove': [],
            }
        ),
    )


@pytest.mark.parametrize(
    ('answer', 'fault'),
    [
        ((410, b''), StoreFault.HISTORY_GONE),
        ((412, b'{"items": []}'), StoreFault.CONFLICT),
        ((429, b''), StoreFault.REFUSED),
        ((503, b''), StoreFault.REFUSED),
        ((404, b''), StoreFault.SESSION_ENDED),
        ((500, b''), StoreFault.MALFORMED),
        ((200, b'no json'), StoreFault.MALFORMED),
        ((200, b'[]'), StoreFault.MALFORMED),
        ((200, b'{"revision": "many"}'), StoreFault.MALFORMED),
    ],
)
async def test_every_other_answer_has_a_kind(script, store, answer, fault):
    script.answers = [answer]
    swapped = await store.compare_and_swap(ConditionalWrite({}, {}))
    assert_that(swapped.error.fault, Is(fault))


# A write that was answered with status 999 was taken for not applied.
@pytest.mark.parametrize('status', ['000', '099', '101', '600', '999', '20'])
async def test_an_invalid_status_is_no_answer_of_the_store(status):
    script = answer(status, '{}', '')
    async with FakeTarget(script, script).running() as scripted:
        store = PlatformStore(scripted.address, Seconds(5))
        with anyio.fail_after(1):
            swapped = await store.compare_and_swap(ConditionalWrite({}, {}))
        assert_that(swapped.error.fault, Is(StoreFault.UNREACHABLE))
        assert_that(swapped.error.may_apply, Is(True))
        # The connection is not used again.
        assert_that(store.endpoint.idle, Equals([]))


async def test_a_write_without_an_answer_may_apply():
    store = PlatformStore('127.0.0.1:1', Seconds(1))
    swapped = await store.compare_and_swap(ConditionalWrite({}, {}))
    assert_that(swapped.error.fault, Is(StoreFault.UNREACHABLE))
    assert_that(swapped.error.may_apply, Is(False))


async def test_sessions_are_opened_renewed_and_closed(script, store):
    script.answers = [reply(lease=77120, ttlMs=3000), reply(), (200, b'')]
    session = (await store.open_session(Seconds(3))).ok
    assert_that((await store.renew_session(session)).is_ok(), Is(True))
    assert_that((await store.close_session(session)).is_ok(), Is(True))
    paths = [f'{method} {path}' for method, path, *_ in script.calls]
    assert_that(
        paths,
        Equals(
            [
                'POST /-/kv-lease',
                'POST /-/kv-keep/77120',
                'DELETE /-/kv-lease-end/77120',
            ]
        ),
    )
