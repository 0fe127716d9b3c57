import asyncio

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clocks import boot_time
from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.key_hashing import hash_key
from laburnumyard.core.requests._entries import RequestState
from laburnumyard.daemon._dispatcher import Dispatcher
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job
from tests.daemon.daemon_fixtures import configuration, table

ANSWER = Ok(Response(200, (), b'whole'))


class Target:
    """Runs each job until released."""

    def __init__(self):
        self.begun = []
        self.ended = []
        self.release = anyio.Event()
        self.outcome = ANSWER

    async def run(self, job):
        self.begun.append(job.request_id)
        try:
            await self.release.wait()
        finally:
            self.ended.append(job.request_id)
        return self.outcome


@pytest.fixture
async def target(anyio_backend):
    return Target()


@pytest.fixture
def make_dispatcher(target):
    def make(**options):
        objects = configuration('127.0.0.1:1', **options).objects
        queue = requests.TargetQueue(
            requests.queue_settings(objects, 'c1'), requests.OperationTimes()
        )
        return Dispatcher(queue, target.run)

    return make


@pytest.fixture
def dispatcher(make_dispatcher):
    return make_dispatcher(slots=1)


def job(name, customer='', repeatable=True, seconds=20.0):
    return Job(
        request_id=name,
        service='catalogue',
        customer=customer,
        key=name,
        key_hash=hash_key(name),
        operation='GET read',
        method='GET',
        path='/catalogue/read',
        headers=(),
        body=b'',
        deadline=boot_time() + seconds,
        repeatable=repeatable,
        ticket='',
        hops=0,
    )


def start(dispatcher, one):
    return asyncio.create_task(dispatcher.run(one))


async def settle():
    for _ in range(8):
        await asyncio.sleep(0)


def assert_no_slot_is_lost(dispatcher):
    assert_that(dispatcher.queue.running, Equals({}))
    assert_that(dispatcher.queue.entries, Equals({}))
    assert_that(dispatcher.pending, Equals({}))


@pytest.mark.anyio
async def test_jobs_run_in_the_slots_of_the_target(dispatcher, target):
    runs = [start(dispatcher, job(name)) for name in ('a', 'b')]
    await settle()
    assert_that(target.begun, Equals(['a']))
    target.release.set()
    for run in runs:
        assert_that(await run, Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
@pytest.mark.cell(step='cancel', fault='cut')
async def test_a_job_granted_but_not_begun_is_cancelled(dispatcher, target):
    run = start(dispatcher, job('a'))
    await asyncio.sleep(0)
    run.cancel()
    await settle()
    assert_that(run.cancelled(), Is(True))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_a_running_job_whose_caller_leaves_ends(dispatcher, target):
    run = start(dispatcher, job('a'))
    following = start(dispatcher, job('b'))
    await settle()
    run.cancel()
    await settle()
    assert_that(target.ended, Equals(['a']))
    assert_that(target.begun, Equals(['a', 'b']))
    target.release.set()
    assert_that(await following, Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


def preempt(dispatcher, name='a'):
    """Preempt a running job, as the queue does."""
    entry = dispatcher.queue.running[name]
    entry.state = RequestState.PREEMPTING
    entry.preemptions += 1
    dispatcher.carry_out(requests.Preempt(name))


@pytest.mark.anyio
async def test_a_preempted_job_waits_and_runs_again(dispatcher, target):
    run = start(dispatcher, job('a'))
    await settle()
    preempt(dispatcher)
    await settle()
    assert_that(target.begun, Equals(['a', 'a']))
    target.release.set()
    assert_that(await run, Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_a_job_preempted_before_it_began_is_not_sent(dispatcher, target):
    ending = start(dispatcher, job('a'))
    run = start(dispatcher, job('b'))
    await settle()
    ending.cancel()
    while 'b' not in dispatcher.queue.running:  # noqa: ASYNC110
        await asyncio.sleep(0)
    assert_that(target.begun, Equals(['a']))
    preempt(dispatcher, 'b')
    await settle()
    assert_that(target.begun, Equals(['a', 'b']))
    target.release.set()
    assert_that(await run, Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_a_job_preempted_and_moved_loses_no_slot(dispatcher, target):
    run = start(dispatcher, job('a'))
    await settle()
    preempt(dispatcher)
    dispatcher.release('c1', table('catalogue', 'elsewhere'))
    outcome = await run
    assert_that(outcome.error.kind, Is(ErrorKind.TARGET_BROKE_OFF))
    assert_no_slot_is_lost(dispatcher)
    target.release.set()
    assert_that(await dispatcher.run(job('b')), Equals(ANSWER))


@pytest.mark.anyio
async def test_a_waiting_job_whose_key_moved_did_not_run(dispatcher, target):
    running = start(dispatcher, job('a'))
    waiting = start(dispatcher, job('b'))
    await settle()
    dispatcher.release('c1', table('catalogue', 'elsewhere'))
    assert_that((await waiting).error.kind, Is(ErrorKind.NOT_OWNER))
    assert_that((await running).error.kind, Is(ErrorKind.TARGET_BROKE_OFF))
    assert_that(target.begun, Equals(['a']))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_a_preempted_job_that_moved_is_not_told_not_run(
    dispatcher, target
):
    run = start(dispatcher, job('a', seconds=20))
    await settle()
    # Takes the slot that the preemption frees.
    dispatcher.queue.concurrency_limiter.resize(0, 0, is_cold=False)
    preempt(dispatcher)
    await settle()
    dispatcher.release('c1', table('catalogue', 'elsewhere'))
    assert_that((await run).error.kind, Is(ErrorKind.TARGET_BROKE_OFF))
    assert_that(target.begun, Equals(['a']))


@pytest.mark.anyio
async def test_a_ticketed_run_is_not_cancelled_when_its_key_moves(
    dispatcher, target
):
    run = start(dispatcher, job('a', repeatable=False))
    await settle()
    dispatcher.release('c1', table('catalogue', 'elsewhere'))
    await settle()
    target.release.set()
    assert_that(await run, Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_a_run_is_cancelled_at_its_deadline(dispatcher, target):
    outcome = await dispatcher.run(job('a', seconds=0.05))
    assert_that(outcome.error.kind, Is(ErrorKind.DEADLINE_AFTER_START))
    assert_that(target.ended, Equals(['a']))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_one_request_id_is_held_once(dispatcher, target):
    run = start(dispatcher, job('a'))
    await settle()
    again = await dispatcher.run(job('a'))
    assert_that(again.error.kind, Is(ErrorKind.OVERLOADED))
    target.release.set()
    assert_that(await run, Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
@pytest.mark.parametrize(
    'kind', [ErrorKind.TARGET_SHED, ErrorKind.TARGET_UNREACHABLE]
)
async def test_a_failure_frees_its_slot(dispatcher, target, kind):
    target.outcome = Error(Failure(kind))
    target.release.set()
    outcome = await dispatcher.run(job('a'))
    assert_that(outcome.error.kind, Is(kind))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_a_fault_of_the_link_frees_its_slot(dispatcher, target):
    async def fail(one):
        raise ValueError('a fault')

    healthy = dispatcher.run_at_target
    dispatcher.run_at_target = fail
    with pytest.raises(ValueError, match='a fault'):
        await dispatcher.run(job('a'))
    dispatcher.run_at_target = healthy
    target.release.set()
    assert_that(await dispatcher.run(job('b')), Equals(ANSWER))
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
async def test_random_cancellations_and_preemptions_lose_no_slot(
    make_dispatcher, target
):
    dispatcher = make_dispatcher(slots=3)
    target.release.set()
    for step in range(300):
        names = [f'{step}-{number}' for number in range(6)]
        runs = [
            start(dispatcher, job(name, ('', 'clinic')[number % 2]))
            for number, name in enumerate(names)
        ]
        for _ in range(step % 5):
            await asyncio.sleep(0)
        runs[step % 6].cancel()
        if step % 3 == 0:
            dispatcher.release('c1', table('catalogue', 'elsewhere', last=1))
        outcomes = await asyncio.gather(*runs, return_exceptions=True)
        assert_that(len(outcomes), Equals(6))
    await settle()
    assert_no_slot_is_lost(dispatcher)


@pytest.mark.anyio
@pytest.mark.cell(step='move', fault='pause')
@pytest.mark.parametrize('kind', [ErrorKind.NOT_OWNER, ErrorKind.NO_OWNER])
async def test_a_key_that_moved_says_nothing_of_the_load(
    dispatcher, target, kind
):
    target.release.set()
    target.outcome = Error(Failure(kind))
    for number in range(5):
        await dispatcher.run(job(f'moved-{number}'))
    assert_that(
        dispatcher.queue.concurrency_limiter.limit(boot_time()), Equals(1)
    )
    target.outcome = ANSWER
    assert_that(await dispatcher.run(job('next')), Equals(ANSWER))
