"""A refusal is believed only if it can be of the request in flight."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.gateway.conftest import (
    FakeSlots,
    FakeTarget,
    answer,
    make_request,
    make_route,
    make_router,
    not_run,
)

pytestmark = pytest.mark.anyio
ORDER = make_route(is_repeatable=False)
NAMED = 'laburnumyard-attempt-id: {0}\r\n'


@pytest.fixture
async def target():
    async with FakeTarget().running() as running:
        yield running


def refusal_of(attempt_id, status=503):
    return not_run(status, NAMED.format(attempt_id))


async def send(router, attempt_id):
    fields = {'laburnumyard-attempt-id': attempt_id}
    return await router.serve(make_request(**fields))


# REFUSED, TWICE: a target repeated an earlier refusal on a kept connection.
@pytest.mark.parametrize(
    'repeated', [not_run(), not_run(421), refusal_of('attempt-1')]
)
async def test_a_repeated_refusal_is_not_of_the_next_request(target, repeated):
    target.scripts = [repeated, repeated]
    slots = FakeSlots(target.address)
    router = make_router(slots, ORDER)
    refused = await send(router, 'attempt-1')
    assert_that(refused.status, Equals(503))
    slots.addresses = [target.address] * 2
    response = await send(router, 'attempt-2')
    # It may have run, so it is neither refused nor sent again.
    assert_that(response.status, Equals(502))
    assert_that(len(target.received), Equals(2))


async def test_a_refusal_without_an_id_on_a_new_connection_is_believed(target):
    target.scripts = [not_run()]
    slots = FakeSlots(target.address)
    response = await send(make_router(slots, ORDER), 'attempt-1')
    assert_that(response.status, Equals(503))


# REFUSED, TWICE: the same, where the request itself was refused before.
async def test_a_request_is_not_sent_twice_on_one_connection(target):
    target.scripts = [refusal_of('attempt-1', 421)]
    slots = FakeSlots(target.address, target.address)
    router = make_router(slots, ORDER)
    response = await send(router, 'attempt-1')
    assert_that(response.status, Equals(200))
    assert_that(router.pool.opened, Equals(2))


async def test_a_named_refusal_on_a_kept_connection_is_believed(target):
    target.scripts = [answer(), refusal_of('attempt-2'), answer()]
    slots = FakeSlots(*[target.address] * 3)
    router = make_router(slots, ORDER)
    await send(router, 'attempt-1')
    response = await send(router, 'attempt-2')
    assert_that(response.status, Equals(200))
