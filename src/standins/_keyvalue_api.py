"""The key-value calls of the platform stand-in."""

import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import anyio

from standins._answers import answer, answer_json, break_off
from standins._asgi import Call
from standins._keyvalue import MAX_VALUE_BYTES, Entry, KeyValue, Swap

MS_PER_S = 1000
LEASE_ID_SEGMENT = 3


@dataclass(slots=True)
class PlatformFaults:
    """The faults that are switched on.

    Parameters
    ----------
    down
        Whether each call's connection is closed without an answer.
    delay_ms
        The wait before each call takes effect.
    lose_write_answers
        How many of the next writes take effect without an answer.
    """

    down: bool = False
    delay_ms: float = 0
    lose_write_answers: int = 0


@dataclass(slots=True)
class KeyValueApi:
    """Answers the calls on keys, watches and leases."""

    faults: PlatformFaults
    calls: Counter[str]
    store: KeyValue = field(default_factory=KeyValue)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Let the waiting watches look again."""
        self.changed.set()
        self.changed = anyio.Event()

    async def list_keys(self, call: Call) -> None:
        """Answer ``GET /v1/keys``."""
        self.calls['list'] += 1
        listed = self.store.keys(call.query.get('prefix', ''))
        rows = [
            {'key': key, 'revision': revision}
            for key, revision in listed.items()
        ]
        await answer_json(call, rows)

    async def answer_key(self, call: Call, key: str) -> None:
        """Answer a call on one key."""
        match call.method:
            case 'GET':
                self.calls['read'] += 1
                await _answer_entry(call, self.store.read(key))
            case 'PUT':
                self.calls['write'] += 1
                await self._put(call, key)
            case 'DELETE':
                self.calls['write'] += 1
                expected = _parse_revision(call, b'if-match')
                await self._settle(call, self.store.delete(key, expected))
            case _:
                await answer(call, HTTPStatus.METHOD_NOT_ALLOWED)

    async def watch(self, call: Call, key: str) -> None:
        """Answer once the key's revision is above the named one."""
        self.calls['watch'] += 1
        query = call.query
        after = int(query.get('after', '0'))
        timeout_s = float(query.get('timeout_ms', '0')) / MS_PER_S
        with anyio.move_on_after(timeout_s):
            await self._wait_above(key, after)
        if self.faults.down:
            await break_off(call)
        elif self.store.revision_of(key) > after:
            await _answer_entry(call, self.store.read(key))
        else:
            await answer(call, HTTPStatus.NO_CONTENT)

    async def lease(self, call: Call) -> None:
        """Open a lease or renew one."""
        self.calls['lease'] += 1
        now = time.monotonic()
        options = await call.read_json()
        segments = call.path.strip('/').split('/')
        if len(segments) < LEASE_ID_SEGMENT:
            ttl_s = float(options.get('ttl_ms', MS_PER_S)) / MS_PER_S
            lease_id = self.store.grant_lease(ttl_s, now)
            await answer_json(call, {'id': lease_id})
            return
        is_held = self.store.renew_lease(segments[LEASE_ID_SEGMENT - 1], now)
        status = HTTPStatus.OK if is_held else HTTPStatus.NOT_FOUND
        await answer(call, status)

    async def _put(self, call: Call, key: str) -> None:
        content = await call.read_body()
        if len(content) > MAX_VALUE_BYTES:
            await answer(call, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        is_new = call.headers.get(b'if-none-match') == b'*'
        expected = 0 if is_new else _parse_revision(call, b'if-match')
        lease = call.headers.get(b'lease', b'').decode('latin-1')
        is_lease_known = not lease or lease in self.store.leases
        if expected < 0 or not is_lease_known:
            await answer(call, HTTPStatus.BAD_REQUEST)
            return
        swap = self.store.write(key, content, expected, lease)
        await self._settle(call, swap)

    async def _settle(self, call: Call, swap: Swap) -> None:
        if swap.is_applied:
            self.wake()
        if self.faults.lose_write_answers:
            self.faults.lose_write_answers -= 1
            await break_off(call)
            return
        status = HTTPStatus.OK
        if not swap.is_applied:
            status = HTTPStatus.PRECONDITION_FAILED
        await answer(call, status, headers=[_etag(swap.revision)])

    async def _wait_above(self, key: str, after: int) -> None:
        while self.store.revision_of(key) <= after and not self.faults.down:
            await self.changed.wait()


def _etag(revision: int) -> tuple[bytes, bytes]:
    return b'etag', b'"%d"' % revision


def _parse_revision(call: Call, header: bytes) -> int:
    digits = call.headers.get(header, b'').strip(b'"')
    return int(digits) if digits.isdigit() else -1


async def _answer_entry(call: Call, entry: Entry | None) -> None:
    if entry is None:
        await answer(call, HTTPStatus.NOT_FOUND)
        return
    await answer(call, HTTPStatus.OK, entry.content, [_etag(entry.revision)])
