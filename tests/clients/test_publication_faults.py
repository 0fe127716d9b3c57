"""Injects each connection fault at each store call of a publication."""

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
    assert_next_publish_succeeds,
    assert_result_matches_store,
    make_proposal,
)
from tests.support.fake_store import FakeStore
from tests.support.faulty_link import EarlyPause, FaultyLink
from tests.support.matrix import Fault
from tests.support.silencing_proxy import SilencingProxy

# Client timeout for a response that the proxy drops.
SILENT_TIMEOUT_S = 0.5
# Number of calls by base; a first publication makes fewer.
CALLS = MappingProxyType({0: 5, 1: 7})
# Number of lost calls: one, some, or all until the publisher fails.
LENGTHS = (1, 2, 3, 5, 100)
BASES = (0, 1)


def cell(fault):
    return pytest.mark.cell(step='publish', fault=fault.value)


async def prepare(base):
    store = FakeStore()
    if base:
        await publish(store, make_proposal('first', 0))
    return store


async def publish_with_cut(fault, base, first, length):
    store = await prepare(base)
    link = FaultyLink(store, fault, first, length)
    answer = await publish(link, make_proposal('mine', base, slots=5))
    assert_that(link.has_struck, Is(True), 'the fault was not injected')
    await assert_intact(store, 'mine', answer)


async def publish_with_pause(link_class, base, first, rivals):
    store = await prepare(base)

    async def overtake():
        for number in range(rivals):
            rival = make_proposal(f'rival-{number}', base + number, slots=9)
            await publish(store, rival)

    link = link_class(store, Fault.PAUSE, first, meanwhile=overtake)
    answer = await publish(link, make_proposal('mine', base, slots=5))
    assert_that(link.has_struck, Is(True), 'the fault was not injected')
    await assert_intact(store, 'mine', answer)


async def publish_with_each_cut(fault, base):
    for first in range(1, CALLS[base] + 1):
        for length in LENGTHS:
            await publish_with_cut(fault, base, first, length)


async def publish_with_each_pause(link_class, base):
    for first in range(1, CALLS[base] + 1):
        for rivals in (1, 2):
            await publish_with_pause(link_class, base, first, rivals)


@pytest.mark.parametrize('base', BASES)
@pytest.mark.parametrize(
    'fault',
    [
        pytest.param(fault, id=fault.value, marks=cell(fault))
        for fault in (Fault.CUT, Fault.ONE_WAY_CUT)
    ],
)
def test_a_publisher_may_be_cut_off_at_any_call(fault, base):
    anyio.run(publish_with_each_cut, fault, base)


@cell(Fault.PAUSE)
@pytest.mark.parametrize('base', BASES)
@pytest.mark.parametrize('link_class', [EarlyPause, FaultyLink])
def test_a_publisher_may_pause_at_any_call(link_class, base):
    anyio.run(publish_with_each_pause, link_class, base)


async def publish_through(proxy, make_store, app):
    """Publish through a proxy, then check the contents of the store."""
    async with serving(app) as upstream:
        proxy.upstream = upstream
        direct = make_store(upstream)
        await publish(direct, make_proposal('first', 0))
        async with proxy.listening() as address:
            client = make_store(address, timeout_s=SILENT_TIMEOUT_S)
            answer = await publish(client, make_proposal('mine', 1, slots=5))
            await client.close()
        assert_that(proxy.swallowed, GreaterThan(0))
        assert_that(proxy.connections, GreaterThan(1))
        history = await assert_next_publish_succeeds(direct)
        assert_result_matches_store(history, 'mine', answer)
        await direct.close()


@pytest.mark.anyio
@cell(Fault.SILENT_CONNECTION)
@pytest.mark.parametrize('passes_last', [False, True])
async def test_a_connection_may_go_silent_at_any_call(make_store, passes_last):
    """The client abandons an unresponsive connection and opens another."""
    async with anyio.create_task_group() as tasks:
        for silent_at in range(1, CALLS[1] + 1):
            proxy = SilencingProxy('', silent_at, passes_last)
            tasks.start_soon(publish_through, proxy, make_store, PlatformApp())


async def report_applied(*arguments):
    return swapping.Outcome.APPLIED


async def report_superseded(*arguments):
    return swapping.Outcome.SUPERSEDED


async def swap_at_any_revision(store, head, base):
    current = await swapping.read_head(store)
    return await swapping.swap_head(store, head, current.ok)


@pytest.mark.parametrize(
    ('broken', 'run', 'kind'),
    [
        (report_applied, publish_with_each_cut, Fault.CUT),
        (report_superseded, publish_with_each_cut, Fault.ONE_WAY_CUT),
        (swap_at_any_revision, publish_with_each_pause, EarlyPause),
    ],
)
def test_checks_catch_a_careless_swap(broken, run, kind, monkeypatch):
    monkeypatch.setattr(publishing, 'swap_head', broken)
    with pytest.raises(AssertionError):
        anyio.run(run, kind, 1)
