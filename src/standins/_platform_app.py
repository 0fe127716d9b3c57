"""The HTTP interface of the platform stand-in."""

import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import anyio

from standins._answers import answer, answer_json, break_off
from standins._asgi import Call, DisconnectedError, Receive, Scope, Send
from standins._faults import apply_faults
from standins._keyvalue_api import KeyValueApi, PlatformFaults
from standins._vms import LaggingVms

MS_PER_S = 1000
KEYS_PATH = '/v1/keys/'
WATCH_PATH = '/v1/watch/'
LEASES_PATH = '/v1/leases'


@dataclass(slots=True)
class PlatformApp:
    """The ASGI application of the platform stand-in.

    Parameters
    ----------
    vms_lag_s
        How long a change of the list of VMs stays unseen, in seconds.
    """

    vms_lag_s: float = 0
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: Counter[str] = field(default_factory=Counter)
    vms: LaggingVms = field(init=False)
    api: KeyValueApi = field(init=False)

    def __post_init__(self) -> None:
        """Start with an empty store and no VMs."""
        self.vms = LaggingVms(self.vms_lag_s)
        self.api = KeyValueApi(self.faults, self.calls)

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
            await self._control(call)
            return
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down:
            await break_off(call)
            return
        self.api.store.expire(time.monotonic())
        await self._platform(call)

    async def _control(self, call: Call) -> None:
        match call.path:
            case '/stand-in/calls':
                await answer_json(call, dict(self.calls))
            case '/stand-in/vms':
                listed = await call.read_decoded()
                self.vms.change(listed, time.monotonic())
                await answer_json(call, {})
            case '/stand-in/faults':
                apply_faults(self.faults, await call.read_json())
                self.api.wake()
                await answer_json(call, {})
            case _:
                await answer(call, HTTPStatus.NOT_FOUND)

    async def _platform(self, call: Call) -> None:
        path = call.path
        if path.startswith(KEYS_PATH):
            await self.api.answer_key(call, path.removeprefix(KEYS_PATH))
        elif path.startswith(WATCH_PATH):
            await self.api.watch(call, path.removeprefix(WATCH_PATH))
        elif path.startswith(LEASES_PATH):
            await self.api.lease(call)
        else:
            await self._list(call)

    async def _list(self, call: Call) -> None:
        match call.path:
            case '/v1/keys':
                await self.api.list_keys(call)
            case '/v1/vms':
                self.calls['vms'] += 1
                await answer_json(call, self.vms.read(time.monotonic()))
            case _:
                await answer(call, HTTPStatus.NOT_FOUND)
