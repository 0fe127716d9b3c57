"""What publishing needs of the store's client."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from expression import Result


class StoreErrorKind(Enum):
    """Why a call to the store gave no result."""

    UNAVAILABLE = 'unavailable'
    TIMEOUT = 'timeout'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too-large'
    OVER_BUDGET = 'over-budget'
    MALFORMED = 'malformed'
    OUTCOME_UNKNOWN = 'outcome-unknown'


@dataclass(frozen=True, slots=True)
class StoreError:
    """A call to the store that failed."""

    kind: StoreErrorKind
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Stored:
    """A value of the store."""

    key: str
    content: bytes
    revision: int


class Store(Protocol):
    """The calls of the store's client that publishing makes."""

    async def read(self, key: str) -> Result[Stored | None, StoreError]:
        """Return the value of a key, or None where there is none."""

    async def swap(
        self,
        key: str,
        content: bytes,
        expected: int | None,
        is_applied: Callable[[bytes], bool],
    ) -> Result[Any, StoreError]:
        """Replace a value if its revision is the expected one."""
