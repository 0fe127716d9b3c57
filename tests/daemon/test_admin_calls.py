import json
from hashlib import sha256

import anyio
import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.daemon._admin import AdminAnswer, AdminApp
from laburnumyard.schema._generated.settings import AdminSettings
from standins._serve import serving
from tests.daemon.raw_http import TEST_TIMEOUT_S

pytestmark = pytest.mark.anyio

TOKEN = 'operator'
SETTINGS = AdminSettings(token_sha256=sha256(TOKEN.encode()).hexdigest())


async def exchange(address, method, path, body=b'', token=''):
    headers = [('authorization', f'Bearer {token}')] if token else []
    url = f'http://{address}{path}'
    async with httpcore.AsyncConnectionPool() as pool:
        with anyio.fail_after(TEST_TIMEOUT_S):
            answer = await pool.request(
                method, url, headers=headers, content=body
            )
    return answer.status, answer.content


async def echo(request):
    return AdminAnswer({**request.query, **request.message})


@pytest.fixture
async def admin():
    handlers = {('GET', '/owner'): echo, ('POST', '/move'): echo}
    async with serving(AdminApp(SETTINGS, handlers)) as address:
        yield address


async def test_query_reaches_the_handler(admin):
    status, body = await exchange(admin, 'GET', '/owner?key=k1')
    assert_that(status, Equals(200))
    assert_that(json.loads(body), Equals({'key': 'k1'}))


async def test_change_without_the_token_is_refused(admin):
    status, _ = await exchange(admin, 'POST', '/move', b'{"key": "k1"}')
    assert_that(status, Equals(401))


async def test_change_with_the_token_is_made(admin):
    status, body = await exchange(
        admin, 'POST', '/move', b'{"key": "k1"}', token=TOKEN
    )
    assert_that(status, Equals(200))
    assert_that(json.loads(body), Equals({'key': 'k1'}))


@pytest.mark.parametrize('body', [b'[]', b'{', b'"x"', b'x' * 70000])
async def test_bodies_that_are_no_object_are_refused(admin, body):
    status, answer = await exchange(admin, 'POST', '/move', body, token=TOKEN)
    assert_that(status, Equals(400))
    assert_that(answer.decode(), Contains('JSON object'))


async def test_unknown_call_names_the_known_ones(admin):
    status, answer = await exchange(admin, 'GET', '/nothing')
    assert_that(status, Equals(404))
    assert_that(answer.decode(), Contains('GET /owner'))
