"""Each fault of the way to the store, at each call of a publication."""

from types import MappingProxyType

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, Is

from laburnumyard.clients.publication import _publishing as publishing
from laburnumyard.clients.publication import _swapping as swapping
from laburnumyard.clients.publication import publish
from standins._serve import serving
from standins.platform import PlatformApp
from tests.clients.publishing import (
    assert_intact,
    assert_next_goes_on,
    assert_told_true,
    propose,
)
from tests.support.fake_store import FakeStore
from tests.support.faulty_link import EarlyPause, FaultyLink
from tests.support.matrix import Fault
from tests.support.silencing_proxy import SilencingProxy

# How long the client waits for an answer that was swallowed.
SILENT_TIMEOUT_S = 0.5
# A first publication makes fewer calls than one that has a base.
CALLS = MappingProxyType({0: 5, 1: 7})
# How many calls are lost: one, some, and all until the publisher gives up.
LENGTHS = (1, 2, 3, 5, 100)
BASES = (0, 1)


def cell(fault):
    return pytest.mark.cell(step='publish', fault=fault.value)


async def prepare(base):
    store = FakeStore()
    if base:
        await publish(store, propose('first', 0))
    return store


async def run_cut(fault, base, first, length):
    store = await prepare(base)
    link = FaultyLink(store, fault, first, length)
    answer = await publish(link, propose('mine', base, slots=5))
    assert_that(link.has_struck, Is(True), 'the fault did not strike')
    await assert_intact(store, 'mine', answer)


async def run_pause(link_class, base, first, rivals):
    store = await prepare(base)

    async def overtake():
        for number in range(rivals):
            rival = propose(f'rival-{number}', base + number, slots=9)
            await publish(store, rival)

    link = link_class(store, Fault.PAUSE, first, meanwhile=overtake)
    answer = await publish(link, propose('mine', base, slots=5))
    assert_that(link.has_struck, Is(True), 'the fault did not strike')
    await assert_intact(store, 'mine', answer)


async def run_all_cuts(fault, base):
    for first in range(1, CALLS[base] + 1):
        for length in LENGTHS:
            await run_cut(fault, base, first, length)


async def run_all_pauses(link_class, base):
    for first in range(1, CALLS[base] + 1):
        for rivals in (1, 2):
            await run_pause(link_class, base, first, rivals)


@pytest.mark.parametrize('base', BASES)
@pytest.mark.parametrize(
    'fault',
    [
        pytest.param(fault, id=fault.value, marks=cell(fault))
        for fault in (Fault.CUT, Fault.ONE_WAY_CUT)
    ],
)
def test_a_publisher_may_be_cut_off_at_any_call(fault, base):
    anyio.run(run_all_cuts, fault, base)


@cell(Fault.PAUSE)
@pytest.mark.parametrize('base', BASES)
@pytest.mark.parametrize('link_class', [EarlyPause, FaultyLink])
def test_a_publisher_may_pause_at_any_call(link_class, base):
    anyio.run(run_all_pauses, link_class, base)


async def publish_through(proxy, make_store, app):
    """Publish through a proxy, then look what the store holds."""
    async with serving(app) as upstream:
        proxy.upstream = upstream
        direct = make_store(upstream)
        await publish(direct, propose('first', 0))
        async with proxy.listening() as address:
            client = make_store(address, timeout_s=SILENT_TIMEOUT_S)
            answer = await publish(client, propose('mine', 1, slots=5))
            await client.close()
        assert_that(proxy.swallowed, GreaterThan(0))
        assert_that(proxy.connections, GreaterThan(1))
        history = await assert_next_goes_on(direct)
        assert_told_true(history, 'mine', answer)
        await direct.close()


@pytest.mark.anyio
@cell(Fault.SILENT_CONNECTION)
@pytest.mark.parametrize('passes_last', [False, True])
async def test_a_connection_may_go_silent_at_any_call(make_store, passes_last):
    """The real client gives up a silent connection and opens another."""
    async with anyio.create_task_group() as tasks:
        for silent_at in range(1, CALLS[1] + 1):
            proxy = SilencingProxy('', silent_at, passes_last)
            tasks.start_soon(publish_through, proxy, make_store, PlatformApp())


async def has_applied(*arguments):
    return swapping.Outcome.APPLIED


async def has_lost(*arguments):
    return swapping.Outcome.LOST


async def swap_at_any_revision(store, head, base):
    current = await swapping.read_head(store)
    return await swapping.swap_head(store, head, current.ok)


@pytest.mark.parametrize(
    ('broken', 'run', 'kind'),
    [
        (has_applied, run_all_cuts, Fault.CUT),
        (has_lost, run_all_cuts, Fault.ONE_WAY_CUT),
        (swap_at_any_revision, run_all_pauses, EarlyPause),
    ],
)
def test_checks_catch_a_careless_swap(broken, run, kind, monkeypatch):
    monkeypatch.setattr(publishing, 'swap_head', broken)
    with pytest.raises(AssertionError):
        anyio.run(run, kind, 1)
