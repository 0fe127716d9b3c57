"""What publishing needs of the store's client."""

from collections.abc import Callable
from typing import Protocol

from expression import Result

from laburnumyard.clients._store_types import (
    Stored,
    StoreError,
    StoreErrorKind,
)

__all__ = ('Store', 'StoreError', 'StoreErrorKind', 'Stored')


class Store(Protocol):
    """The calls that publishing makes; ``StoreClient`` has them."""

    async def read(self, key: str) -> Result[Stored | None, StoreError]:
        """Return the value of a key, or None where there is none."""

    async def swap(
        self,
        key: str,
        content: bytes,
        expected: int | None,
        is_applied: Callable[[bytes], bool],
    ) -> Result[Stored, StoreError]:
        """Replace a value if its revision is the expected one."""
