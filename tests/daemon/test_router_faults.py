from types import SimpleNamespace

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.clocks import boot_time
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.requests import (
    DeathId,
    Quarantine,
    fingerprint_of,
)
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.daemon._router import Router

pytestmark = pytest.mark.anyio
OK_RESPONSE = Response(200, (), b'bench')


class OneOwnerView:
    """A view in which this daemon dispatches to the only target."""

    name = 'vm-1'
    settings = SimpleNamespace(log=SimpleNamespace(decisions=False))
    configuration = SimpleNamespace(
        services={'catalogue': SimpleNamespace(retry_share=1)},
    )

    @property
    def tables(self):
        owner = SimpleNamespace(owner=lambda key_hash: 'catalogue-1')
        return {'catalogue': owner}

    def dispatcher_of(self, target, avoided):
        return self.name

    async def wait_snapshot(self, service):
        await anyio.lowlevel.checkpoint()


@pytest.fixture
def quarantine():
    return Quarantine()


@pytest.fixture
def build_router(quarantine):
    """Return a function that builds a router with the given try outcomes."""

    def build(*outcomes, on_try=lambda: None):
        left = list(outcomes)

        async def run_here(job, target):
            on_try()
            return left.pop(0)

        return Router(
            OneOwnerView(),
            run_here,
            None,
            quarantine,
            Metrics(),
            lambda daemon: None,
        )

    return build


def fail(kind):
    return Error(Failure(kind))


@pytest.mark.parametrize('last', ['target-unreachable', 'deadline-too-short'])
async def test_not_run_is_not_told_after_a_try_that_may_have_run(
    build_router,
    job,
    last,
):
    router = build_router(
        fail(ErrorKind.TARGET_BROKE_OFF),
        *([fail(ErrorKind(last))] * 8),
    )
    outcome = await router.route(job)
    assert_that(outcome.error.kind, Is(ErrorKind.TARGET_BROKE_OFF))


async def test_last_failure_is_told_where_no_try_may_have_run(
    build_router,
    job,
):
    router = build_router(
        fail(ErrorKind.NOT_OWNER),
        fail(ErrorKind.DEADLINE_TOO_SHORT),
    )
    outcome = await router.route(job)
    assert_that(outcome.error.kind, Is(ErrorKind.DEADLINE_TOO_SHORT))


async def test_later_answer_makes_up_for_a_broken_try(build_router, job):
    router = build_router(fail(ErrorKind.TARGET_BROKE_OFF), Ok(OK_RESPONSE))
    assert_that((await router.route(job)).ok, Equals(OK_RESPONSE))


@pytest.mark.cell(step='retry', fault='poison-request')
async def test_suspect_that_is_found_during_the_pause_is_not_tried_again(
    build_router,
    quarantine,
    job,
):
    suspect = fingerprint_of(
        job.service, job.method, job.path, job.key, job.body
    )
    tries = []

    class LateSuspectView(OneOwnerView):
        async def wait_snapshot(self, service):
            quarantine.note_death(DeathId('1'), (suspect,), boot_time())

    router = build_router(
        fail(ErrorKind.TARGET_BROKE_OFF),
        Ok(OK_RESPONSE),
        on_try=lambda: tries.append(1),
    )
    router.view = LateSuspectView()
    outcome = await router.route(job)
    assert_that(tries, HasLength(1))
    assert_that(outcome.error.kind, Is(ErrorKind.TARGET_BROKE_OFF))


async def test_whole_answer_acquits_a_suspect(build_router, quarantine, job):
    suspect = fingerprint_of(
        job.service, job.method, job.path, job.key, job.body
    )
    quarantine.note_death(DeathId('1'), (suspect,), boot_time())
    await build_router(Ok(OK_RESPONSE)).route(job)
    assert_that(quarantine.is_suspect(suspect, boot_time()), Is(False))
