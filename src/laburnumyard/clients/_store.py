"""Client of the platform's key-value store."""

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from urllib.parse import quote

from expression import Error, Ok, Result

from laburnumyard.clients._store_calls import StoreCalls
from laburnumyard.clients._store_codec import (
    decode_keys,
    decode_stored,
    decode_watched,
    decode_written,
)
from laburnumyard.clients._store_types import (
    KeyRevision,
    StoredValue,
    StoreError,
    StoreErrorKind,
)
from laburnumyard.clients._write_resolution import (
    RESOLVABLE_BY_READ,
    UnconfirmedWrite,
    mark_outcome_unknown,
    resolve_write,
)
from laburnumyard.schema._generated.settings import StoreSettings
from laburnumyard.transport._endpoint import HttpRequest

MS_PER_S = 1000
MAX_VALUE_BYTES = 1024 * 1024


class StoreClient:
    """Client of the store; calls have a deadline and a rate budget.

    Reads and watches are attempted up to ``settings.attempts`` times. A write
    is sent once; only ``swap`` retries it, and only after reading that the
    key still has the expected revision.

    Parameters
    ----------
    settings
        The address, deadlines and budget.
    clock
        Returns the current time, in seconds.
    random_fraction
        Returns a random number from 0 to 1, for the jitter of retries.
    """

    def __init__(
        self,
        settings: StoreSettings,
        clock: Callable[[], float],
        random_fraction: Callable[[], float],
    ) -> None:
        """Create the client without opening a connection."""
        self.settings = settings
        self.calls = StoreCalls(settings, clock, random_fraction)

    @property
    def last_contact(self) -> float:
        """Time of the last response of the store, in seconds."""
        return self.calls.outage.last_contact

    def is_down(self, now: float) -> bool:
        """Return whether calls failed for as long as all attempts take."""
        return self.calls.outage.is_down(now)

    async def read(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Return the value of a key; None if the key is absent."""
        answer = await self.calls.fetch(HttpRequest('GET', key_path(key)))
        return answer.bind(lambda got: decode_stored(key, got))

    async def keys(
        self,
        prefix: str,
    ) -> Result[tuple[KeyRevision, ...], StoreError]:
        """Return the keys with a prefix and their revisions."""
        path = f'/v1/keys?prefix={quote(prefix, safe="")}'
        answer = await self.calls.fetch(
            HttpRequest('GET', path), is_urgent=False
        )
        return answer.bind(decode_keys)

    async def write(
        self,
        key: str,
        content: bytes,
        expected: int | None,
    ) -> Result[StoredValue, StoreError]:
        """Store a value if the key has the expected revision; sent once.

        Parameters
        ----------
        key
            The key to write.
        content
            The value, at most ``MAX_VALUE_BYTES`` bytes.
        expected
            The revision that the key must have; None if it must be absent.

        Returns
        -------
        Result of StoredValue
            ``CONFLICT`` if the key has changed, ``OUTCOME_UNKNOWN`` if the
            write may have been applied without a response. With any other
            error it was not applied.
        """
        written = await self._write_once(key, content, expected)
        return await self._show_conflict(key, written)

    async def delete(
        self,
        key: str,
        expected: int,
    ) -> Result[None, StoreError]:
        """Delete a key at the expected revision; errors as for ``write``."""
        headers = {'if-match': f'"{expected}"'}
        request = HttpRequest('DELETE', key_path(key), headers)
        answer = await self.calls.send_write(request)
        deleted = answer.map(lambda _: None)
        return await self._show_conflict(key, deleted)

    async def wait_for_newer(
        self,
        key: str,
        after: int,
        timeout_s: float,
    ) -> Result[StoredValue | None, StoreError]:
        """Wait for a value newer than a revision; None at the timeout.

        A caller that passes the revision of the last value it received (0 at
        first) always gets the latest value and none twice.

        Parameters
        ----------
        key
            The key to watch.
        after
            The revision that the returned value must exceed.
        timeout_s
            How long to wait, in seconds; the watch is renewed every
            ``settings.watch_timeout_s`` seconds.
        """
        watch_s = self.settings.watch_timeout_s
        left_s = timeout_s
        newer: Result[StoredValue | None, StoreError] = Ok(None)
        while left_s > 0:
            newer = await self._watch(key, after, min(left_s, watch_s))
            if newer.is_error() or newer.ok is not None:
                return newer
            left_s -= watch_s
        return newer

    async def swap(
        self,
        key: str,
        content: bytes,
        expected: int | None,
        is_applied: Callable[[bytes], bool],
    ) -> Result[StoredValue, StoreError]:
        """Compare-and-swap a value; a lost response is resolved by a read.

        Parameters
        ----------
        key, content, expected
            As for ``write``.
        is_applied
            Returns whether a value of the key includes this change, by a
            unique change id. Later values derived from this one must keep
            the id for as long as they may be written before the response to
            this swap arrives.

        Returns
        -------
        Result of StoredValue
            The value that includes the change. ``CONFLICT`` if the current
            value does not, ``OUTCOME_UNKNOWN`` if the store does not
            respond.
        """
        may_be_applied = False
        for _ in range(self.settings.attempts):
            written = await self._write_once(key, content, expected)
            if written.is_ok():
                return written
            kind = written.error.kind
            may_be_applied = (
                may_be_applied or kind is StoreErrorKind.OUTCOME_UNKNOWN
            )
            if kind not in RESOLVABLE_BY_READ:
                return mark_outcome_unknown(written.error, may_be_applied)
            found = await self.read(key)
            if found.is_error():
                return mark_outcome_unknown(written.error, may_be_applied)
            resolved = resolve_write(
                UnconfirmedWrite(key, expected, may_be_applied),
                found.ok,
                is_applied,
            )
            if resolved is not None:
                return resolved
        return mark_outcome_unknown(written.error, may_be_applied)

    async def close(self) -> None:
        """Close the connections."""
        await self.calls.endpoint.close()

    async def _write_once(
        self,
        key: str,
        content: bytes,
        expected: int | None,
    ) -> Result[StoredValue, StoreError]:
        if len(content) > MAX_VALUE_BYTES:
            detail = f'{len(content)} bytes; split it below {MAX_VALUE_BYTES}'
            return Error(StoreError(StoreErrorKind.TOO_LARGE, detail))
        headers = {'if-none-match': '*'}
        if expected is not None:
            headers = {'if-match': f'"{expected}"'}
        request = HttpRequest('PUT', key_path(key), headers, content)
        answer = await self.calls.send_write(request)
        return answer.bind(decode_written).map(
            lambda revision: StoredValue(key, content, revision),
        )

    async def _show_conflict(
        self,
        key: str,
        outcome: Result[Any, StoreError],
    ) -> Result[Any, StoreError]:
        """Attach the current value of the key to a conflict."""
        is_conflict = (
            outcome.is_error() and outcome.error.kind is StoreErrorKind.CONFLICT
        )
        if not is_conflict:
            return outcome
        found = await self.read(key)
        current = found.default_value(None)
        return Error(replace(outcome.error, current=current))

    async def _watch(
        self,
        key: str,
        after: int,
        wait_s: float,
    ) -> Result[StoredValue | None, StoreError]:
        query = f'after={after}&timeout_ms={math.ceil(wait_s * MS_PER_S)}'
        path = f'/v1/watch/{quote(key)}?{query}'
        answer = await self.calls.fetch(
            HttpRequest('GET', path),
            is_urgent=False,
            wait_s=wait_s,
        )
        return answer.bind(lambda got: decode_watched(key, after, got))


def key_path(key: str) -> str:
    """Return the URL path of a key."""
    return f'/v1/keys/{quote(key)}'
