"""Store interface that publishing requires."""

from collections.abc import Callable
from typing import Protocol

from expression import Result

from laburnumyard.clients._store_types import (
    StoredValue,
    StoreError,
    StoreErrorKind,
)

__all__ = ('Store', 'StoreError', 'StoreErrorKind', 'StoredValue')


class Store(Protocol):
    """Store calls used by publishing; implemented by ``StoreClient``."""

    async def read(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Return the value of a key; None if the key is absent."""

    async def swap(
        self,
        key: str,
        content: bytes,
        expected: int | None,
        is_applied: Callable[[bytes], bool],
    ) -> Result[StoredValue, StoreError]:
        """Replace a value if it has the expected revision."""
