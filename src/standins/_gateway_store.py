"""The key-value store that gateways use, in the format of the users' pages."""

import time
from base64 import b64decode, b64encode
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import anyio

from standins._answers import answer_json, break_off
from standins._asgi import Call, DisconnectedError, Receive, Scope, Send
from standins._keyvalue import KeyValue
from standins._keyvalue_api import PlatformFaults

MS_PER_S = 1000
LEASE_PREFIX = 'lease-'
EXPIRY_INTERVAL_S = 0.05


@dataclass(slots=True)
class GatewayStore:
    """The ASGI application of the store.

    Attributes
    ----------
    store
        Its state; tests write what operators and targets write.
    faults
        ``down`` and ``delay_ms`` take effect.
    """

    store: KeyValue = field(default_factory=KeyValue)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: Counter[str] = field(default_factory=Counter)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, key: str, content: bytes) -> int:
        """Write a key without a condition, and return the revision."""
        swap = self.store.write(key, content, self.store.revision_of(key))
        self.wake()
        return swap.revision

    def remove(self, key: str) -> None:
        """Remove a key, if it is there."""
        self.store.delete(key, self.store.revision_of(key))
        self.wake()

    def wake(self) -> None:
        """Let the waiting watches look again."""
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """End lapsed leases until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            before = self.store.revision
            self.store.expire(time.monotonic())
            if self.store.revision != before:
                self.wake()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        call = Call(scope, receive, send)
        try:
            await self.route(call)
        except DisconnectedError:
            return

    async def route(self, call: Call) -> None:
        """Answer one call, unless the store is down."""
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down:
            await break_off(call)
            return
        name, _, rest = call.path.removeprefix('/-/').partition('/')
        self.calls[name] += 1
        match name:
            case 'kv-key':
                await self.read(call)
            case 'kv-range':
                await self.scan(call)
            case 'kv-watch':
                await self.watch(call)
            case 'kv-txn':
                await self.transact(call)
            case _:
                await self.lease(call, name, f'{LEASE_PREFIX}{rest}')

    async def read(self, call: Call) -> None:
        """Answer a read of one key."""
        key = call.query['key']
        if key not in self.store.entries:
            await self.reply(call, {}, HTTPStatus.NOT_FOUND)
            return
        await self.reply(call, {**self.row(key), 'asOf': self.store.revision})

    async def scan(self, call: Call) -> None:
        """Answer a listing of a prefix, on one page."""
        rows = [self.row(key) for key in self.store.keys(call.query['prefix'])]
        listing = {
            'items': rows,
            'morePages': False,
            'asOf': self.store.revision,
        }
        await self.reply(call, listing)

    async def watch(self, call: Call) -> None:
        """Answer once there are changes of a prefix after a revision."""
        query = call.query
        prefix, after = query['prefix'], int(query['after'])
        era = self.store.era
        with anyio.move_on_after(int(query['waitMs']) / MS_PER_S):
            while (
                self.store.has_history(after)
                and not self.changes(prefix, after)
                and not self.faults.down
            ):
                await self.changed.wait()
        if self.faults.down or self.store.era != era:
            await break_off(call)
        elif self.store.has_history(after):
            events = self.changes(prefix, after)
            found = {'events': events, 'asOf': self.store.revision}
            await self.reply(call, found)
        else:
            await self.reply(call, {}, HTTPStatus.GONE)

    async def transact(self, call: Call) -> None:
        """Answer a conditional write."""
        body = await call.read_json()
        conditions = body['expectedRevision']
        if any(
            self.store.revision_of(row['key']) != row['revision']
            for row in conditions
        ):
            rows = [
                self.row(row['key'])
                for row in conditions
                if row['key'] in self.store.entries
            ]
            status = HTTPStatus.PRECONDITION_FAILED
            await self.reply(call, {'items': rows}, status)
            return
        leases = {row.get('lease', 0) for row in body['puts']} - {0}
        if any(
            f'{LEASE_PREFIX}{lease}' not in self.store.leases
            for lease in leases
        ):
            await self.reply(call, {}, HTTPStatus.NOT_FOUND)
            return
        for row in body['puts']:
            lease = row.get('lease', 0)
            self.store.write(
                row['key'],
                b64decode(row['value']),
                self.store.revision_of(row['key']),
                f'{LEASE_PREFIX}{lease}' if lease else '',
            )
        self.wake()
        await self.reply(call, {'revision': self.store.revision})

    async def lease(self, call: Call, name: str, lease_id: str) -> None:
        """Open, renew or end a lease."""
        now = time.monotonic()
        if name == 'kv-lease':
            body = await call.read_json()
            ttl_s = body['ttlMs'] / MS_PER_S
            opened = self.store.grant_lease(ttl_s, now)
            number = int(opened.removeprefix(LEASE_PREFIX))
            await self.reply(call, {'lease': number, 'ttlMs': body['ttlMs']})
            return
        is_known = lease_id in self.store.leases
        if name == 'kv-keep':
            self.store.renew_lease(lease_id, now)
        elif is_known:
            self.store.end_leases({lease_id})
            self.wake()
        status = HTTPStatus.OK if is_known else HTTPStatus.NOT_FOUND
        await self.reply(call, {}, status)

    def changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a prefix after a revision."""
        written = [
            self.row(key)
            for key, revision in self.store.keys(prefix).items()
            if revision > after
        ]
        removed = [
            {'key': key, 'revision': revision, 'removed': True}
            for key, revision in self.store.removed.items()
            if key.startswith(prefix) and revision > after
        ]
        return [*written, *removed]

    def row(self, key: str) -> dict[str, Any]:
        """Return an entry as the store shows it."""
        entry = self.store.entries[key]
        return {
            'key': key,
            'value': b64encode(entry.content).decode(),
            'revision': entry.revision,
        }

    async def reply(
        self, call: Call, content: object, status: int = HTTPStatus.OK
    ) -> None:
        """Send a JSON answer with the era."""
        era = (b'store-era', b'%d' % self.store.era)
        await answer_json(call, content, status, [era])
