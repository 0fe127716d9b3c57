"""Explanations of requests by a running gateway."""

import json
import pickle
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, StartsWith

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import ServiceName
from laburnumyard.core.reachability import TargetReach
from laburnumyard.core.routes import RouteShare, RouteTable
from laburnumyard.core.scheduling import (
    RetryBudget,
    Scheduler,
    SchedulerSettings,
    _explanation,
)
from laburnumyard.gateway._cluster_view import (
    ClusterView,
    Coordinator,
    Member,
)
from laburnumyard.gateway._decision_explainer import DecisionExplainer
from laburnumyard.gateway._request_explainer import RequestExplainer
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.schema._generated import messages
from laburnumyard.wire import LinkPool, LinkServer, Peer
from tests.gateway.conftest import make_request, make_route, record_at
from tests.gateway.test_relay import free_addresses, hello_of

pytestmark = pytest.mark.anyio
SERVICE = ServiceName('catalogue')
BUDGET = RetryBudget(ratio=0.2, allowance=10, window_s=10)
QUESTION = '/explain?host=shop.example&path=/benches/17'
TIMEOUT_S = 2


class Roles:
    """Services that a gateway coordinates."""

    def __init__(self, *dispatchers):
        self.decisions = DecisionExplainer()
        self.dispatchers = {each.service: each for each in dispatchers}

    def dispatcher_of(self, service):
        return self.dispatchers.get(service)


def make_dispatcher(*addresses):
    dispatcher = SlotDispatcher(SERVICE, Scheduler(SchedulerSettings(BUDGET)))
    dispatcher.update([record_at(address) for address in addresses])
    return dispatcher


def make_explainer(roles, *, coordinator=None, route=None):
    view = ClusterView()
    view.adopt_routes(RouteTable(7, (route or make_route(),), {}))
    if coordinator is not None:
        view.adopt_coordinator(SERVICE, coordinator)
    slots = SimpleNamespace(
        view=view,
        watcher=SimpleNamespace(health=StoreHealth()),
        elections=SimpleNamespace(coordination=roles, reach=TargetReach()),
        local_dispatchers={},
    )
    hello = hello_of('edge-0', '127.0.0.1:1')
    return RequestExplainer(slots, hello)


def coordinator_at(address, name='edge-1'):
    return Coordinator(Member(name, address, 1), 4)


async def ask(explainer, query=QUESTION):
    return await explainer.serve(make_request(path=query))


async def ask_json(explainer, query=QUESTION):
    response = await ask(explainer, f'{query}&format=json')
    return json.loads(response.body)


@asynccontextmanager
async def coordinating(*dispatchers):
    """Run a gateway that coordinates services."""
    address = free_addresses(1)[0]
    roles = Roles(*dispatchers)

    def handle(link, message):
        if isinstance(message, messages.Explain):
            return roles.decisions.answer(roles.dispatcher_of, link, message)
        return None

    async with LinkServer(address, hello_of('edge-1', address), handle):
        yield coordinator_at(address)


async def test_a_coordinator_explains_its_own_decision():
    dispatcher = make_dispatcher('127.0.0.1:7', '127.0.0.1:8')
    explainer = make_explainer(
        Roles(dispatcher), coordinator=coordinator_at('127.0.0.1:1', 'edge-0')
    )
    before = pickle.dumps(dispatcher.scheduler)
    content = await ask_json(explainer)
    assert_that(content['route'], Equals('benches'))
    assert_that(content['config_version'], Equals(7))
    part = content['parts'][0]
    assert_that(part['decided_by'], Equals('edge-0'))
    assert_that(part['verdict'], Equals('sent'))
    targets = [each['target'] for each in part['candidates']]
    assert_that(targets, Contains(part['target']))
    assert_that(part['candidates'][0]['admission'], Equals('admitted'))
    # Nothing was sent, and nothing is expected to be.
    assert_that(pickle.dumps(dispatcher.scheduler), Equals(before))
    assert_that(dispatcher.replies, Equals({}))


async def test_the_coordinator_is_asked():
    dispatcher = make_dispatcher('127.0.0.1:7')
    async with coordinating(dispatcher) as coordinator:
        explainer = make_explainer(Roles(), coordinator=coordinator)
        part = (await ask_json(explainer))['parts'][0]
    assert_that(part['decided_by'], Equals('edge-1'))
    assert_that(part['target'], Equals('i-127.0.0.1:7'))


async def test_a_gateway_that_no_longer_coordinates_says_so():
    async with coordinating() as coordinator:
        explainer = make_explainer(Roles(), coordinator=coordinator)
        part = (await ask_json(explainer))['parts'][0]
    assert_that(part['problem'], Contains('no longer schedules'))


# An unknown message closes its link, with all requests for slots on it.
async def test_a_coordinator_of_an_earlier_version_keeps_its_other_links(
    monkeypatch,
):
    monkeypatch.delitem(messages._READERS, 'explain')
    async with (
        coordinating(make_dispatcher('127.0.0.1:7')) as coordinator,
        LinkPool(hello_of('edge-0', '127.0.0.1:1')) as pool,
    ):
        member = coordinator.member
        peer = Peer(member.name, member.address, member.incarnation)
        ping = messages.Ping(number=0)
        await pool.request(peer, ping, TIMEOUT_S)
        link = pool.link_to(peer)
        explainer = make_explainer(Roles(), coordinator=coordinator)
        part = (await ask_json(explainer))['parts'][0]
        assert_that(part['problem'], Contains('earlier version'))
        answered = await pool.request(peer, ping, TIMEOUT_S)
        assert_that(answered.is_ok(), Is(True))
        assert_that(pool.link_to(peer), Is(link))


async def test_a_coordinator_that_is_away_is_named():
    coordinator = coordinator_at(free_addresses(1)[0])
    explainer = make_explainer(Roles(), coordinator=coordinator)
    part = (await ask_json(explainer))['parts'][0]
    assert_that(part['problem'], Contains('edge-1'))


async def test_without_a_coordinator_the_own_scheduler_decides():
    explainer = make_explainer(Roles())
    part = (await ask_json(explainer))['parts'][0]
    assert_that(part['problem'], Contains('no coordinator'))
    dispatcher = make_dispatcher('127.0.0.1:7')
    explainer.slots.local_dispatchers[SERVICE] = dispatcher
    part = (await ask_json(explainer))['parts'][0]
    assert_that(part['decided_by'], Contains('without a coordinator'))
    assert_that(part['verdict'], Equals('sent'))


async def test_each_part_of_a_split_route_is_explained():
    parts = (RouteShare(SERVICE, 3.0), RouteShare(ServiceName('other'), 1.0))
    route = replace(make_route(), parts=parts)
    explained = await ask_json(make_explainer(Roles(), route=route))
    shares = [(each['service'], each['share']) for each in explained['parts']]
    assert_that(shares, Equals([('catalogue', 0.75), ('other', 0.25)]))


async def test_the_text_shows_the_verdict_and_the_candidates():
    explainer = make_explainer(
        Roles(make_dispatcher('127.0.0.1:7')),
        coordinator=coordinator_at('127.0.0.1:1', 'edge-0'),
    )
    response = await ask(explainer, f'{QUESTION}&key=5&deadlineMs=700')
    lines = response.body.decode().splitlines()
    assert_that(lines[0], StartsWith('gateway=edge-0'))
    assert_that(lines[0], Contains('key=5'))
    assert_that(lines[1], Equals('service catalogue: sent to i-127.0.0.1:7'))
    assert_that(lines[-1], StartsWith('  - target=i-127.0.0.1:7'))
    assert_that(lines[-1], Contains('admission=admitted'))


async def test_a_request_without_a_route_has_no_parts():
    query = '/explain?host=shop.example&path=/other/'
    explained = await ask_json(make_explainer(Roles()), query)
    assert_that(explained['problem'], Equals('no-route'))


@pytest.mark.parametrize(
    'query',
    [
        '/explain',
        '/explain?host=shop.example',
        '/explain?host=shop.example&path=benches',
        f'{QUESTION}&key=-1',
        f'{QUESTION}&key=65536',
        f'{QUESTION}&key=99999999999999999999',
        f'{QUESTION}&key=x',
        f'{QUESTION}&deadlineMs=1e3',
    ],
)
async def test_a_bad_question_is_refused(query):
    response = await ask(make_explainer(Roles()), query)
    assert_that(response.status, Equals(400))
    assert_that(json.loads(response.body)['detail'] == '', Is(False))


# Each copies a scheduler, which takes processor time from requests.
async def test_one_question_is_answered_at_a_time():
    explainer = make_explainer(Roles())
    explainer.is_busy = True
    assert_that((await ask(explainer)).status, Equals(503))
    explainer.is_busy = False
    assert_that((await ask(explainer)).status, Equals(200))


# Questions of many gateways at once would keep a coordinator from its requests.
async def test_explanations_take_a_bounded_part_of_the_time():
    dispatcher = make_dispatcher(*(f'127.0.0.1:{port}' for port in range(99)))
    explainer = make_explainer(Roles())
    explainer.slots.local_dispatchers[SERVICE] = dispatcher
    decisions = explainer.slots.elections.coordination.decisions
    await ask_json(explainer)
    earliest = decisions.resume_at
    assert_that(earliest > boot_time(), Is(True))
    await ask_json(explainer)
    # The second one began no earlier than that.
    assert_that(decisions.resume_at > earliest, Is(True))
    assert_that(boot_time() > earliest, Is(True))


async def test_more_questions_than_can_be_answered_are_refused():
    decisions = DecisionExplainer()
    question = messages.Explain(
        1, SERVICE, 'benches', 0, 65_536, 'lima', 9, 9, 0
    )
    problems = []

    async def ask_one():
        content = await decisions.explain({}.get, question)
        problems.append(content['problem'])

    async with decisions.lock, anyio.create_task_group() as tasks:
        for _ in range(6):
            tasks.start_soon(ask_one)
        await anyio.wait_all_tasks_blocked()
        assert_that(
            problems, Equals(['too many requests are being explained'] * 2)
        )
        decisions.lock.release()
        await anyio.wait_all_tasks_blocked()
        await decisions.lock.acquire()
    assert_that(len(problems), Equals(6))


async def test_a_service_that_is_too_large_is_not_explained(monkeypatch):
    monkeypatch.setattr(_explanation, 'MAX_EXPLAINED_TARGETS', 1)
    explainer = make_explainer(Roles())
    dispatcher = make_dispatcher('127.0.0.1:7', '127.0.0.1:8')
    explainer.slots.local_dispatchers[SERVICE] = dispatcher
    part = (await ask_json(explainer))['parts'][0]
    assert_that(part['problem'], Contains('too large'))


def test_messages_survive_the_wire():
    question = messages.Explain(1, 'catalogue', 'r', 2, 65_536, 'lima', 4, 5, 6)
    answer = messages.Explained(1, b'{}')
    for message in (question, answer):
        decoded = messages.decode(messages.encode(message))
        assert_that(decoded, Equals(message))
