import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.clocks import boot_time
from laburnumyard.core.key_hashing import HASH_SPACE
from laburnumyard.schema._generated.messages import (
    GuardGrant,
    GuardSeal,
    OwnedRange,
)
from tests.daemon.daemon_fixtures import running
from tests.daemon.raw_http import ask, connected, encode

ALL_RANGES = (OwnedRange(start=0, last=HASH_SPACE - 1, target='c1'),)
LIFETIME_MS = 20_000


class Manager:
    """Sends seals and grants to the guard, as a lease manager does."""

    def __init__(self, daemon):
        self.guards = daemon.guards
        self.sequence = 0

    def seal(self, term=1):
        return self.guards.answer(GuardSeal(1, 'catalogue', 'c1', term))

    def grant(self, ranges, lifetime_ms=LIFETIME_MS):
        self.sequence += 1
        return self.guards.answer(
            GuardGrant(
                number=1,
                service='catalogue',
                target='c1',
                term=1,
                sequence=self.sequence,
                clock_ms=int(boot_time() * 1000),
                lifetime_ms=lifetime_ms,
                ranges=ranges,
                replaces=True,
            )
        )


@pytest.fixture
async def guard(target):
    limits = {'guarded_deadline_max_s': 0.2}
    async with running(limits=limits) as one:
        one.configure(target, fencing='none')
        yield one


@pytest.fixture
def manager(guard):
    lease_manager = Manager(guard)
    lease_manager.seal()
    lease_manager.grant(ALL_RANGES)
    return lease_manager


@pytest.mark.anyio
async def test_nothing_is_sent_without_a_grant(guard, target_app):
    answer = await ask(guard.callers, laburnumyard_deadline_ms=200)
    assert_that(answer.ran, Equals('not-run'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
async def test_a_granted_key_is_served(guard, manager, target_app):
    assert_that((await ask(guard.callers)).status, Equals(200))
    assert_that(manager.grant(ALL_RANGES).busy, Equals(0))
    assert_that(guard.guards.sent, Equals({'c1': set()}))


@pytest.mark.anyio
@pytest.mark.cell(step='send', fault='lease-lapsed')
async def test_nothing_is_sent_after_the_grant_has_lapsed(
    guard, manager, target_app
):
    manager.grant(ALL_RANGES, lifetime_ms=0)
    answer = await ask(guard.callers, laburnumyard_deadline_ms=200)
    assert_that(answer.ran, Equals('not-run'))
    assert_that(target_app.state.log.runs, HasLength(0))


@pytest.mark.anyio
@pytest.mark.cell(step='move', fault='pause')
async def test_a_revoked_guard_is_busy_until_its_requests_have_ended(
    guard, manager, target_app, wait_until
):
    asking = asyncio.create_task(ask(guard.callers, x_work_ms=60))
    await wait_until(lambda: target_app.state.log.runs)
    assert_that(manager.grant(ALL_RANGES).busy, Equals(0))
    assert_that(manager.grant(()).busy, Equals(1))
    assert_that((await asking).status, Equals(200))
    assert_that(manager.seal().busy, Equals(0))


@pytest.mark.anyio
@pytest.mark.cell(step='move', fault='cut')
async def test_a_cancelled_request_counts_until_its_deadline(
    guard, manager, target_app, wait_until
):
    """A target without fencing may not have noticed the cancellation."""
    async with connected(guard.callers) as caller:
        caller.send(encode(x_work_ms=5000))
        await wait_until(lambda: target_app.state.log.runs)
        sent = boot_time()
    await wait_until(lambda: guard.targets.is_idle)
    if boot_time() < sent + 0.15:
        assert_that(manager.grant(()).busy, Equals(1))
    await wait_until(lambda: manager.grant(()).busy == 0)
    assert_that(boot_time() >= sent + 0.15, Is(True))


@pytest.mark.anyio
async def test_deadlines_at_a_guarded_target_are_capped(
    guard, manager, target_app, wait_until
):
    answer = await ask(
        guard.callers, x_work_ms=5000, laburnumyard_deadline_ms=20_000
    )
    assert_that(answer.kind, Equals('deadline-after-start'))
    await wait_until(lambda: target_app.state.log.runs[0].cancelled)


@pytest.mark.anyio
async def test_a_target_with_fencing_has_no_cap(target, target_app):
    limits = {'guarded_deadline_max_s': 0.05}
    async with running(limits=limits) as daemon:
        daemon.configure(target)
        answer = await ask(daemon.callers, x_work_ms=150)
    assert_that(answer.status, Equals(200))
