import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from tests.daemon.daemon_fixtures import TOKEN
from tests.daemon.raw_http import ask


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('customer', 'token'),
    [
        ('clinic', None),
        ('clinic', 'Bearer wrong'),
        ('clinic', f'Basic {TOKEN}'),
        ('clinic', f'Bearer {TOKEN}x'),
        ('clinic', 'Bearer'),
        ('nobody', f'Bearer {TOKEN}'),
        ('', f'Bearer {TOKEN}'),
        (None, f'Bearer {TOKEN}'),
        ('\xff', 'Bearer \xff'),
    ],
)
async def test_a_claim_without_its_token_is_refused(
    daemon, target_app, customer, token
):
    answer = await ask(
        daemon.callers, laburnumyard_customer=customer, authorization=token
    )
    assert_that(answer.kind, Equals('unauthenticated'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
async def test_only_a_proven_customer_gets_its_class(daemon):
    customers = []
    run = daemon.router.run_here

    async def note(job, target):
        customers.append(job.customer)
        return await run(job, target)

    daemon.router.run_here = note
    credentials = {
        'laburnumyard_customer': 'clinic',
        'authorization': f'bearer {TOKEN}',
    }
    assert_that((await ask(daemon.callers, **credentials)).status, Equals(200))
    assert_that((await ask(daemon.callers)).status, Equals(200))
    assert_that(customers, Equals(['clinic', '']))


@pytest.mark.anyio
async def test_tokens_are_not_passed_on_to_targets(daemon, scripted):
    credentials = {
        'laburnumyard_customer': 'clinic',
        'authorization': f'Bearer {TOKEN}',
    }
    async with scripted(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n') as to:
        daemon.configure(to.address)
        assert_that(
            (await ask(daemon.callers, **credentials)).status, Equals(200)
        )
        assert_that(to.received[0], Not(Contains(TOKEN.encode())))


@pytest.mark.anyio
async def test_an_unknown_service_is_named(daemon):
    answer = await ask(daemon.callers, 'GET', '/nothing/read')
    assert_that(answer.kind, Equals('unknown-service'))


@pytest.mark.anyio
async def test_nothing_is_served_before_the_configuration(daemon):
    daemon.view.configuration = None
    answer = await ask(daemon.callers)
    assert_that(answer.kind, Equals('no-configuration'))
    assert_that(answer.ran, Equals('not-run'))
