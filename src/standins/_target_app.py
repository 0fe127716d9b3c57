"""The HTTP interface of the target stand-in."""

import os
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from types import MappingProxyType

from standins._answers import Headers, answer
from standins._asgi import Call, DisconnectedError, Receive, Scope, Send
from standins._job import Job, encode_body, read_job
from standins._slots import Outcome
from standins._target_control import answer_control, answer_stand_in
from standins._target_state import (
    TargetSettings,
    TargetState,
    read_clock_ms,
)

POISONED_EXIT_CODE = 70
NOT_RUN = (b'laburnumyard-not-run', b'yes')
REFUSALS = MappingProxyType(
    {
        Outcome.SHED: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.EXPIRED: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.NOT_OWNER: HTTPStatus.MISDIRECTED_REQUEST,
    },
)


@dataclass(slots=True)
class TargetApp:
    """The ASGI application of the target stand-in."""

    settings: TargetSettings
    state: TargetState = field(init=False)

    def __post_init__(self) -> None:
        """Start without grants."""
        self.state = TargetState(self.settings)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer one request."""
        call = Call(scope, receive, send)
        try:
            await self._route(call)
        except DisconnectedError:
            return

    async def _route(self, call: Call) -> None:
        if call.path.startswith('/stand-in/'):
            await answer_stand_in(self.state, call)
            return
        await self._suffer(call)
        self.state.clients.add(call.scope['client'])
        if call.path.startswith('/control/'):
            await answer_control(self.state, call)
        else:
            await self._serve(call)

    async def _suffer(self, call: Call) -> None:
        """Wait while the target is frozen or the connection is silent."""
        if self.state.faults.frozen:
            await self.state.thawed.wait()
        if call.scope['client'] in self.state.silent_clients:
            await call.wait_closed()
            raise DisconnectedError

    async def _serve(self, call: Call) -> None:
        await call.read_body()
        job = read_job(call, self.settings.work_ms)
        outcome = await self._run(call, job)
        await self._suffer(call)
        if outcome is Outcome.DONE:
            body = encode_body(job)
            await answer(call, HTTPStatus.OK, body, _clock())
            return
        refusal = REFUSALS.get(outcome)
        if refusal:
            await answer(call, refusal, headers=[NOT_RUN, *_clock()])

    async def _run(self, call: Call, job: Job) -> Outcome:
        if self.state.is_shedding:
            return Outcome.SHED
        if not self.state.owns(job.run.key_hash):
            return Outcome.NOT_OWNER
        start = partial(self._start, job)
        if job.work_ms:
            outcome = await self.state.slots.run(job.work_ms, call, start)
        else:
            outcome = start()
        self.state.running.pop(id(job.run), None)
        job.run.end_ms = read_clock_ms()
        job.run.cancelled = outcome is Outcome.CANCELLED
        return outcome

    def _start(self, job: Job) -> Outcome:
        """Start a job that has a slot, unless it came too late."""
        job.run.start_ms = read_clock_ms()
        if job.run.start_ms >= job.expires_ms:
            return Outcome.EXPIRED
        if not self.state.owns(job.run.key_hash):
            return Outcome.NOT_OWNER
        self.state.log.start(job.run)
        self.state.running[id(job.run)] = job.run
        if job.is_poison:
            os._exit(POISONED_EXIT_CODE)
        return Outcome.DONE


def _clock() -> Headers:
    return [(b'laburnumyard-clock-ms', b'%d' % read_clock_ms())]
