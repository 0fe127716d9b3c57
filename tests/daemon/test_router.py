import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.requests import Quarantine
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.daemon._router import Router
from tests.daemon.daemon_fixtures import (
    FixedView,
    configuration,
    make_settings,
    table,
)
from tests.daemon.test_dispatcher import job

OK_OUTCOME = Ok(Response(200, (), b''))


ASSIGNMENT_CHANGES = 10
ASSIGNMENT_CHANGE_INTERVAL_S = 0.002


class ScriptedTries:
    """Ends each try with the next outcome; the last one is repeated."""

    def __init__(self):
        self.outcomes = [OK_OUTCOME]
        self.asked = []

    def fail(self, *kinds):
        self.outcomes = [Error(Failure(kind)) for kind in kinds]

    async def run_here(self, one, target):
        return self.end('here')

    async def run_at_peer(self, one, route):
        return self.end(route.dispatcher)

    def end(self, daemon):
        self.asked.append(daemon)
        left = self.outcomes
        return left.pop(0) if len(left) > 1 else left[0]


@pytest.fixture
def tries():
    return ScriptedTries()


@pytest.fixture
def view():
    known = FixedView(make_settings(), 1, None)
    known.configuration = configuration('127.0.0.1:1')
    known.tables['catalogue'] = table('catalogue', 'c1')
    return known


@pytest.fixture
def router(view, tries):
    return Router(
        view,
        tries.run_here,
        tries.run_at_peer,
        Quarantine(),
        Metrics(),
        lambda daemon: None,
    )


@pytest.mark.anyio
@pytest.mark.cell(step='retry', fault='cut')
@pytest.mark.parametrize(
    ('kinds', 'expected'),
    [
        ((ErrorKind.NO_OWNER,), ErrorKind.NO_OWNER),
        ((ErrorKind.TARGET_SHED,), ErrorKind.TARGET_SHED),
        (
            (ErrorKind.TARGET_BROKE_OFF, ErrorKind.NO_OWNER),
            ErrorKind.TARGET_BROKE_OFF,
        ),
        (
            (ErrorKind.PEER_BROKE_OFF, ErrorKind.OVERLOADED),
            ErrorKind.PEER_BROKE_OFF,
        ),
        (
            (ErrorKind.TARGET_BROKE_OFF, ErrorKind.DEADLINE_BEFORE_START),
            ErrorKind.DEADLINE_AFTER_START,
        ),
        (
            (
                ErrorKind.TARGET_BROKE_OFF,
                ErrorKind.NOT_OWNER,
                ErrorKind.QUARANTINED,
            ),
            ErrorKind.TARGET_BROKE_OFF,
        ),
    ],
)
async def test_what_may_have_run_is_never_told_not_run(
    router, tries, kinds, expected
):
    tries.fail(*kinds)
    outcome = await router.route(job('a', seconds=0.5))
    assert_that(outcome.error.kind, Is(expected))


@pytest.mark.anyio
async def test_a_ticketed_job_is_sent_again_only_if_it_did_not_run(
    router, tries
):
    tries.outcomes = [Error(Failure(ErrorKind.TARGET_SHED)), OK_OUTCOME]
    assert_that(
        (await router.route(job('a', repeatable=False))), Is(OK_OUTCOME)
    )
    tries.outcomes = [Error(Failure(ErrorKind.TARGET_BROKE_OFF)), OK_OUTCOME]
    outcome = await router.route(job('b', repeatable=False))
    assert_that(outcome.error.answer.ran, Is(Ran.UNKNOWN))
    assert_that(tries.asked, HasLength(3))


@pytest.mark.anyio
async def test_an_unknown_service_and_no_configuration_are_typed(
    router, view, tries
):
    view.configuration = configuration('127.0.0.1:1')
    one = job('a')
    one.service = 'nothing'
    outcome = await router.route(one)
    assert_that(outcome.error.kind, Is(ErrorKind.UNKNOWN_SERVICE))
    view.configuration = None
    outcome = await router.route(job('a'))
    assert_that(outcome.error.kind, Is(ErrorKind.NO_CONFIGURATION))
    assert_that(tries.asked, Equals([]))


@pytest.mark.anyio
async def test_no_retry_is_waited_for_past_the_deadline(router, tries):
    tries.fail(ErrorKind.TARGET_UNREACHABLE)
    outcome = await router.route(job('one', seconds=0.1))
    assert_that(outcome.error.kind, Is(ErrorKind.TARGET_UNREACHABLE))
    assert_that(tries.asked, HasLength(1))


@pytest.mark.anyio
async def test_assignments_in_quick_succession_use_up_no_tries(
    router, tries, view
):
    """While a service starts, grants follow only the last assignment."""
    tries.fail(ErrorKind.NO_OWNER)

    async def assign():
        for _ in range(ASSIGNMENT_CHANGES):
            await anyio.sleep(ASSIGNMENT_CHANGE_INTERVAL_S)
            waiting = view.changes.pop('catalogue', None)
            if waiting is not None:
                waiting.set()
        tries.outcomes = [OK_OUTCOME]

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(assign)
        outcome = await router.route(job('one'))
    assert_that(outcome.is_ok(), Is(True))
