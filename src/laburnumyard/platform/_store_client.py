"""Client of the platform's metadata store."""

import binascii
import json
import re
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import urlencode

from expression import Error, Ok, Result

from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import (
    Changes,
    ConditionalWrite,
    Item,
    SessionId,
    StoreError,
    StoreFault,
)
from laburnumyard.gateway._store_revision import (
    era_of,
    position_of,
    revision_in,
)
from laburnumyard.platform._document_fields import MS_PER_SECOND, read_name
from laburnumyard.transport import (
    Endpoint,
    ExchangeError,
    ExchangeFault,
    HttpRequest,
    HttpResponse,
    parse_json,
    read_count,
    read_list,
    read_object,
)

KEY_PATH = '/-/kv-key'
RANGE_PATH = '/-/kv-range'
WATCH_PATH = '/-/kv-watch'
TRANSACTION_PATH = '/-/kv-txn'
LEASE_PATH = '/-/kv-lease'
LEASE_RENEW_PATH = '/-/kv-keep/'
LEASE_END_PATH = '/-/kv-lease-end/'
JSON_HEADERS = MappingProxyType({'content-type': 'application/json'})
# Meaning of HTTP statuses of the store.
FAULTS_BY_STATUS: Mapping[int, StoreFault] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: StoreFault.SESSION_ENDED,
        HTTPStatus.GONE: StoreFault.HISTORY_GONE,
        HTTPStatus.PRECONDITION_FAILED: StoreFault.CONFLICT,
        HTTPStatus.TOO_MANY_REQUESTS: StoreFault.REFUSED,
        HTTPStatus.SERVICE_UNAVAILABLE: StoreFault.REFUSED,
    }
)
FAULTS_BY_EXCHANGE_FAULT: Mapping[ExchangeFault, StoreFault] = MappingProxyType(
    {
        ExchangeFault.UNREACHABLE: StoreFault.UNREACHABLE,
        ExchangeFault.TIMEOUT: StoreFault.TIMEOUT,
        ExchangeFault.BROKE_OFF: StoreFault.UNREACHABLE,
    }
)
# Number of times that the store has come back from an older copy.
ERA_HEADER = 'store-era'
ERA = re.compile('[0-9]{1,6}')
MAX_PAGES = 100


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Fields of a response and the era that it belongs to."""

    fields: Mapping[str, Any]
    era: int


CallResult = Result[StoreAnswer, StoreError]


class PlatformStore:
    """HTTP client of the store; each method makes one call, a scan several.

    Parameters
    ----------
    address
        ``IP:PORT`` of the store.
    timeout_s
        Timeout of a call, in seconds.

    Attributes
    ----------
    era
        Highest era that a response stated.
    on_restored
        Called when the store has come back from an older copy.
    """

    def __init__(self, address: str, timeout_s: Seconds) -> None:
        """Create a client without connections."""
        self.endpoint = Endpoint(address)
        self.timeout_s = timeout_s
        self.era = 0
        self.on_restored: list[Callable[[int], None]] = []

    async def read(
        self, key: str, *, may_lag: bool = False
    ) -> Result[Item, StoreError]:
        """Return an item; ``content`` is None if the key does not exist."""
        query = {'key': key}
        if may_lag:
            # The store's name for a read that may return stale data.
            query['serializable'] = '1'
        call_result = await self._get(KEY_PATH, query)
        if call_result.is_ok():
            return _decode_checked(_read_found_item, call_result.ok)
        if call_result.error.fault is StoreFault.SESSION_ENDED:
            return Ok(Item(key, None, 0))
        return Error(call_result.error)

    async def scan(self, prefix: str) -> Result[Changes, StoreError]:
        """Return all items under a prefix."""
        items: list[Item] = []
        revision = 0
        query = {'prefix': prefix}
        for _ in range(MAX_PAGES):
            call_result = await self._get(RANGE_PATH, query)
            if call_result.is_error():
                return Error(call_result.error)
            page = _decode_checked(_read_page, call_result.ok)
            if page.is_error():
                return page
            items.extend(page.ok.items)
            # Pages are not one snapshot, so a watch has to start at the
            # revision of the first one.
            revision = revision or page.ok.revision
            has_more = call_result.ok.fields.get('morePages') is True
            if not has_more or not page.ok.items:
                break
            query = {'prefix': prefix, 'after': items[-1].key}
        if revision and era_of(revision) != self.era:
            return Error(StoreError(StoreFault.HISTORY_GONE))
        return Ok(Changes(tuple(items), revision))

    async def watch(
        self, prefix: str, after: int, wait_s: Seconds
    ) -> Result[Changes, StoreError]:
        """Wait for changes after a revision and return them.

        A revision of another era has no changes: the store may have given out
        its number again.
        """
        self._note_era(era_of(after))
        if era_of(after) != self.era:
            return Error(StoreError(StoreFault.HISTORY_GONE))
        query = {
            'prefix': prefix,
            'after': str(position_of(after)),
            'waitMs': str(int(wait_s * MS_PER_SECOND)),
        }
        call_result = await self._get(WATCH_PATH, query, wait_s)
        if call_result.is_error():
            return Error(call_result.error)
        if call_result.ok.era != era_of(after):
            return Error(StoreError(StoreFault.HISTORY_GONE))
        return _decode_checked(_read_events, call_result.ok)

    async def compare_and_swap(
        self, write: ConditionalWrite
    ) -> Result[int, StoreError]:
        """Apply a conditional write and return its revision.

        A condition of an earlier era is a conflict, and so is a write that was
        sent in an earlier era than answered: its conditions may have held by
        chance.
        """
        era = self.era
        if any(
            revision and era_of(revision) != era
            for revision in write.expected.values()
        ):
            return Error(StoreError(StoreFault.CONFLICT, detail='earlier era'))
        call_result = await self._call(
            'POST', TRANSACTION_PATH, _encode_write(write)
        )
        if call_result.is_error():
            return Error(call_result.error)
        if era and call_result.ok.era != era:
            return Error(StoreError(StoreFault.CONFLICT, may_apply=True))
        return _decode_checked(_read_revision, call_result.ok)

    async def open_session(
        self, ttl_s: Seconds
    ) -> Result[SessionId, StoreError]:
        """Open a session with a time to live of ``ttl_s``."""
        body = {'ttlMs': int(ttl_s * MS_PER_SECOND)}
        call_result = await self._call('POST', LEASE_PATH, body)
        if call_result.is_error():
            return Error(call_result.error)
        return _decode_checked(_read_session, call_result.ok)

    async def renew_session(
        self, session: SessionId
    ) -> Result[None, StoreError]:
        """Extend a session by its time to live."""
        call_result = await self._call(
            'POST', f'{LEASE_RENEW_PATH}{session}', {}
        )
        return call_result.map(_discard)

    async def close_session(
        self, session: SessionId
    ) -> Result[None, StoreError]:
        """End a session, which removes its keys."""
        call_result = await self._call(
            'DELETE', f'{LEASE_END_PATH}{session}', None
        )
        return call_result.map(_discard)

    async def _get(
        self, path: str, query: Mapping[str, str], wait_s: float = 0
    ) -> CallResult:
        request = HttpRequest('GET', f'{path}?{urlencode(query)}')
        timeout_s = self.timeout_s + wait_s
        return self._receive(await self.endpoint.exchange(request, timeout_s))

    async def _call(
        self, method: str, path: str, body: Mapping[str, Any] | None
    ) -> CallResult:
        content = b'' if body is None else json.dumps(body).encode()
        request = HttpRequest(method, path, JSON_HEADERS, content)
        exchange_result = await self.endpoint.exchange(request, self.timeout_s)
        return self._receive(exchange_result)

    def _receive(
        self, exchange_result: Result[HttpResponse, ExchangeError]
    ) -> CallResult:
        """Decode a response, unless a later era has begun."""
        if exchange_result.is_error():
            return Error(_store_error(exchange_result.error))
        response = exchange_result.ok
        text = response.headers.get(ERA_HEADER, '')
        era = int(text) if ERA.fullmatch(text) else self.era
        self._note_era(era)
        if era < self.era:
            detail = f'response of era {era}, known is {self.era}'
            return Error(StoreError(StoreFault.HISTORY_GONE, True, detail))
        return _decode(response, era)

    def _note_era(self, era: int) -> None:
        before = self.era
        self.era = max(before, era)
        if 0 < before < era:
            for callback in self.on_restored:
                callback(era)


def _store_error(error: ExchangeError) -> StoreError:
    fault = FAULTS_BY_EXCHANGE_FAULT.get(error.fault, StoreFault.MALFORMED)
    return StoreError(fault, error.has_left, error.detail)


def _decode(response: HttpResponse, era: int) -> CallResult:
    if response.status == HTTPStatus.OK:
        fields = _decode_checked(_read_body, response.body)
        return fields.map(partial(StoreAnswer, era=era))
    fault = FAULTS_BY_STATUS.get(response.status, StoreFault.MALFORMED)
    return Error(StoreError(fault, detail=f'status {response.status}'))


def _encode_write(write: ConditionalWrite) -> Mapping[str, Any]:
    return {
        'expectedRevision': [
            {'key': key, 'revision': position_of(revision)}
            for key, revision in write.expected.items()
        ],
        'puts': [
            {
                'key': key,
                'value': b64encode(content).decode(),
                'lease': write.session,
            }
            for key, content in write.puts.items()
        ],
        'remove': [],
    }


def _decode_checked(read: Any, raw: Any) -> Result[Any, StoreError]:
    try:
        return Ok(read(raw))
    except (TypeError, ValueError, KeyError) as fault:
        error = StoreError(StoreFault.MALFORMED, True, str(fault))
        return Error(error)


def _read_body(raw: bytes) -> Mapping[str, Any]:
    return read_object(parse_json(raw)) if raw else {}


def _read_found_item(answer: StoreAnswer) -> Item:
    return _read_item(answer.fields, answer.era)


def _read_item(raw: Any, era: int) -> Item:
    fields = read_object(raw)
    content = None
    if fields.get('removed') is not True:
        content = _decode_base64(fields.get('value'))
    return Item(
        read_name(fields, 'key'),
        content,
        revision_in(era, read_count(fields, 'revision')),
    )


def _decode_base64(text: Any) -> bytes:
    if not isinstance(text, str):
        raise TypeError('value must be a base64 string')
    try:
        return b64decode(text, validate=True)
    except binascii.Error as fault:
        raise ValueError(f'value is not valid base64: {fault}') from fault


def _read_page(answer: StoreAnswer) -> Changes:
    return _read_changes(answer, 'items')


def _read_events(answer: StoreAnswer) -> Changes:
    return _read_changes(answer, 'events')


def _read_changes(answer: StoreAnswer, name: str) -> Changes:
    items = tuple(
        _read_item(raw, answer.era)
        for raw in read_list(answer.fields.get(name))
    )
    # `asOf` is the revision up to which the items are complete.
    position = read_count(answer.fields, 'asOf')
    return Changes(items, revision_in(answer.era, position))


def _read_revision(answer: StoreAnswer) -> int:
    return revision_in(answer.era, read_count(answer.fields, 'revision'))


def _read_session(answer: StoreAnswer) -> SessionId:
    return SessionId(read_count(answer.fields, 'lease'))


def _discard(_: StoreAnswer) -> None:
    """Discard the result of a call."""
