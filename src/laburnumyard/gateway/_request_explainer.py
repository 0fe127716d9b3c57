"""Explains where a request would go now, without sending it.

The answer is what the scheduler of each service of the route decides on a copy
of its state. If a peer coordinates a service, it is asked.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from laburnumyard.clocks import boot_time
from laburnumyard.core.cost_classes import cost_class
from laburnumyard.core.explanation_text import render_explanation
from laburnumyard.core.ids import (
    ServiceName,
    ShardKey,
)
from laburnumyard.core.routes import Route
from laburnumyard.gateway._cluster_view import Coordinator
from laburnumyard.gateway._coordinator_roles import NO_KEY
from laburnumyard.gateway._decision_explainer import Content
from laburnumyard.gateway._derived_settings import FETCH_LINK_SETTINGS
from laburnumyard.gateway._http_messages import CallerRequest, CallerResponse
from laburnumyard.gateway._request_router import DEFAULT_DEADLINE_S
from laburnumyard.gateway._slot_acquisition import Slots
from laburnumyard.schema._generated import messages
from laburnumyard.wire import LinkPool, Peer

EXPLAIN_PATH = '/explain'
MS_PER_SECOND = 1000
# Timeout of a coordinator's answer; well above a round trip between data
# centres.
ANSWER_TIMEOUT_S = 1.0
MAX_DEADLINE_S = 3600.0
# The kind of request that is asked about.
METHOD = 'GET'


@dataclass(frozen=True, slots=True)
class Question:
    """A request that is not sent.

    Parameters
    ----------
    host, path
        Where it would go.
    key
        Its shard key, None without one.
    deadline_s
        Time that the caller would wait, in seconds.
    """

    host: str
    path: str
    key: ShardKey | None
    deadline_s: float


class RequestExplainer:
    """Explains requests to operators.

    Parameters
    ----------
    slots
        Coordinators and local schedulers.
    hello
        Identity of this gateway on links to coordinators.
    """

    def __init__(self, slots: Slots, hello: messages.Hello) -> None:
        """Create an object that answers one question at a time."""
        self.slots = slots
        self.hello = hello
        self.is_busy = False

    async def serve(self, request: CallerRequest) -> CallerResponse:
        """Answer a question of an operator, as text or JSON."""
        query = {
            name: found[0]
            for name, found in parse_qs(urlsplit(request.path).query).items()
        }
        try:
            question = parse_question(query)
        except ValueError as fault:
            return _refuse(HTTPStatus.BAD_REQUEST, str(fault))
        if self.is_busy:
            # A copy of a scheduler takes processor time.
            return _refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'another request is being explained; try again',
            )
        self.is_busy = True
        try:
            content = await self.explain(question)
        finally:
            self.is_busy = False
        if query.get('format') == 'json':
            return _respond(HTTPStatus.OK, content)
        text = '\n'.join([*render_explanation(content), ''])
        headers = (('content-type', 'text/plain; charset=utf-8'),)
        return CallerResponse(HTTPStatus.OK, headers, text.encode())

    async def explain(self, question: Question) -> Content:
        """Return what would become of a request now."""
        view = self.slots.view
        content: Content = {
            'gateway': self.hello.daemon,
            **self.describe_sources(),
        }
        route = view.routes and view.routes.find(question.host, question.path)
        if not route:
            return {**content, 'problem': 'no-route', 'parts': []}
        total = sum(part.weight for part in route.parts)
        parts = [
            {
                'service': part.service,
                'share': part.weight / total,
                **await self.explain_service(route, part.service, question),
            }
            for part in route.parts
        ]
        return {**content, **_describe_route(route, question), 'parts': parts}

    def describe_sources(self) -> Content:
        """Return what this gateway has read, and its state."""
        view = self.slots.view
        health = self.slots.watcher.health
        return {
            'config_version': view.routes.version if view.routes else 0,
            'targets_known': len(view.directory),
            'store': health.reachability.name.lower(),
            'store_state_s': boot_time() - health.since,
            # If not, its requests go through a peer.
            'reaches_targets': not self.slots.elections.reach.is_lost,
        }

    async def explain_service(
        self, route: Route, service: ServiceName, question: Question
    ) -> Content:
        """Return what the scheduler of a service would decide."""
        message = self.encode_question(route, service, question)
        coordinator = self.slots.view.coordinators.get(service)
        if coordinator is None:
            return await self.explain_uncoordinated(message)
        by = {
            'decided_by': coordinator.member.name,
            'epoch': coordinator.epoch,
        }
        coordination = self.slots.elections.coordination
        find = coordination.dispatcher_of
        if find(service):
            return {**by, **await coordination.decisions.explain(find, message)}
        return {**by, **await self.ask(coordinator, message)}

    def encode_question(
        self, route: Route, service: ServiceName, question: Question
    ) -> messages.Explain:
        """Return a question as a message to the coordinator of a service."""
        due_s = min(route.objective_s, question.deadline_s)
        expires_s = min(route.timeout_s, question.deadline_s)
        return messages.Explain(
            0,
            service,
            route.name,
            route.rank,
            NO_KEY if question.key is None else question.key,
            self.hello.data_centre,
            int(due_s * MS_PER_SECOND),
            int(expires_s * MS_PER_SECOND),
            cost_class(METHOD, question.path, 0, question.key),
        )

    async def explain_uncoordinated(self, message: messages.Explain) -> Content:
        """Return what the scheduler of this gateway alone would decide."""
        find = self.slots.local_dispatchers.get
        if find(ServiceName(message.service)) is None:
            return {'problem': 'no coordinator of the service is known'}
        by = {'decided_by': f'{self.hello.daemon} without a coordinator'}
        decisions = self.slots.elections.coordination.decisions
        return {**by, **await decisions.explain(find, message)}

    async def ask(
        self, coordinator: Coordinator, message: messages.Explain
    ) -> Content:
        """Return the answer of the coordinator of a service.

        It is asked on a link of its own, because a gateway of an earlier
        version closes the link at a message that it does not know.
        """
        member = coordinator.member
        peer = Peer(member.name, member.address, member.incarnation)
        started = boot_time()
        async with LinkPool(self.hello, FETCH_LINK_SETTINGS) as pool:
            reply = await pool.request(peer, message, ANSWER_TIMEOUT_S)
        if reply.is_error():
            kind = reply.error.kind.value
            problem = f'no answer of {member.name} ({kind}); it may be of an '
            return {'problem': f'{problem}earlier version'}
        if not isinstance(reply.ok, messages.Explained):
            return {'problem': f'{member.name} sent another message'}
        content = _decode(reply.ok.content)
        return {'asked_s': boot_time() - started, **content}


def parse_question(query: Mapping[str, str]) -> Question:
    """Return the question of a query string.

    Raises
    ------
    ValueError
        If a parameter is missing or invalid.
    """
    host = query.get('host', '')
    path = query.get('path', '')
    if not host or not path.startswith('/'):
        raise ValueError('give host=HOST and path=/PATH')
    key = _parse_number(query, 'key', NO_KEY - 1)
    deadline_ms = _parse_number(
        query, 'deadlineMs', int(MAX_DEADLINE_S * MS_PER_SECOND)
    )
    deadline_s = DEFAULT_DEADLINE_S
    if deadline_ms is not None:
        deadline_s = deadline_ms / MS_PER_SECOND
    return Question(
        host, path, None if key is None else ShardKey(key), deadline_s
    )


def _parse_number(
    query: Mapping[str, str], name: str, highest: int
) -> int | None:
    text = query.get(name, '')
    if not text:
        return None
    if (
        not text.isascii()
        or not text.isdecimal()
        or len(text) > len(str(highest))
    ):
        raise ValueError(f'{name} must be a whole number up to {highest}')
    if int(text) > highest:
        raise ValueError(f'{name} must be a whole number up to {highest}')
    return int(text)


def _describe_route(route: Route, question: Question) -> Content:
    return {
        'route': route.name,
        'rank': route.rank,
        'repeatable': route.is_repeatable,
        'objective_s': route.objective_s,
        'timeout_s': route.timeout_s,
        'deadline_s': question.deadline_s,
        'key': question.key,
    }


def _decode(content: bytes) -> Content:
    try:
        decoded = json.loads(content)
    except (ValueError, RecursionError):
        return {'problem': 'the answer is not JSON'}
    if not isinstance(decoded, dict):
        return {'problem': 'the answer is not a JSON object'}
    return decoded


def _refuse(status: HTTPStatus, problem: str) -> CallerResponse:
    return _respond(status, {'detail': problem})


def _respond(status: HTTPStatus, content: Content) -> CallerResponse:
    headers = (('content-type', 'application/json'),)
    return CallerResponse(status, headers, json.dumps(content).encode())
