"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from kit2.http import Message, Reply, Server, json_reply

PAGE = 500


@dataclass
class Entry:
    """One item."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """All items, their history, and leases.

    While it is down, it answers each call with 503.
    """

    def __init__(self, host: str) -> None:
        self.server = Server(host, self.handle)
        self.items: dict[str, Entry] = {}
        self.events: list[tuple[int, str, bytes | None, int, int]] = []
        self.revision = 1
        self.leases: dict[int, list[float]] = {}
        self.lease_number = 100
        self.is_down = False
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Entry(value, self.revision, created, lease)
        self.events.append((self.revision, key, value, created, lease))
        self.wake()
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append((self.revision, key, None, 0, 0))
            self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, e in self.items.items() if e.lease == lease]:
            self.remove(key)

    async def run(self) -> None:
        """End leases; they pause while the store is down."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, row in tuple(self.leases.items()):
                if self.is_down:
                    row[1] += now - before
                elif now > row[1]:
                    self.end_lease(lease)
            before = now

    async def handle(self, request: Message) -> Reply | None:
        await asyncio.sleep(0.004)
        if self.is_down:
            return json_reply(503, {})
        reply = await self.answer(request)
        return json_reply(503, {}) if self.is_down else reply

    async def answer(self, request: Message) -> Reply:
        url = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        name, _, rest = url.path.removeprefix('/-/').partition('/')
        if name == 'kv-key':
            entry = self.items.get(query['key'])
            if entry is None:
                return json_reply(404, {'asOf': self.revision})
            row = self.row(query['key'], entry)
            return json_reply(200, {**row, 'asOf': self.revision})
        if name == 'kv-range':
            return self.list_items(query)
        if name == 'kv-watch':
            return await self.watch(query)
        if name == 'kv-txn':
            return self.transact(json.loads(request.body))
        if name == 'kv-lease':
            ttl_s = json.loads(request.body)['ttlMs'] / 1000
            self.lease_number += 1
            self.leases[self.lease_number] = [ttl_s, time.monotonic() + ttl_s]
            fields = {'lease': self.lease_number, 'ttlMs': int(ttl_s * 1000)}
            return json_reply(200, fields)
        lease = int(rest)
        if lease not in self.leases:
            return json_reply(404, {})
        if name == 'kv-keep':
            row = self.leases[lease]
            row[1] = time.monotonic() + row[0]
        else:
            self.end_lease(lease)
        return json_reply(200, {})

    def row(self, key: str, entry: Entry) -> dict[str, object]:
        return {
            'key': key,
            'value': base64.b64encode(entry.value).decode(),
            'revision': entry.revision,
            'created': entry.created,
            'lease': entry.lease,
        }

    def list_items(self, query: dict[str, str]) -> Reply:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > after
        )
        rows = [self.row(key, self.items[key]) for key in keys[:PAGE]]
        more = len(keys) > PAGE
        fields = {'items': rows, 'morePages': more, 'asOf': self.revision}
        return json_reply(200, fields)

    async def watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query['prefix'], int(query['after'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        while not (found := self.events_of(prefix, after)):
            left = until - time.monotonic()
            if left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return json_reply(200, {'events': found, 'asOf': self.revision})

    def events_of(self, prefix: str, after: int) -> list[dict[str, object]]:
        found: list[dict[str, object]] = []
        for revision, key, value, created, lease in reversed(self.events):
            if revision <= after:
                break
            if not key.startswith(prefix):
                continue
            if value is None:
                row = {'key': key, 'revision': revision, 'removed': True}
            else:
                row = self.row(key, Entry(value, revision, created, lease))
            found.append(row)
        return found[::-1]

    def transact(self, body: dict[str, list[dict[str, object]]]) -> Reply:
        expected = body.get('expectedRevision', [])
        if any(self.revision_of(r['key']) != r['revision'] for r in expected):
            rows = [
                self.row(r['key'], self.items[r['key']])
                for r in expected
                if r['key'] in self.items
            ]
            return json_reply(412, {'items': rows})
        puts = body.get('puts', [])
        if any(str(r['key']).startswith(('op/', 'servers/')) for r in puts):
            return json_reply(403, {})
        if any(r.get('lease') and r['lease'] not in self.leases for r in puts):
            return json_reply(404, {})
        for r in puts:
            value = base64.b64decode(str(r['value']))
            self.put(str(r['key']), value, int(r.get('lease') or 0))
        for key in body.get('remove', []):
            self.remove(str(key))
        return json_reply(200, {'revision': self.revision})

    def revision_of(self, key: object) -> int:
        entry = self.items.get(str(key))
        return entry.revision if entry else 0
