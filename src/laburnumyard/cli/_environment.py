"""What a command takes from the machine that it runs on."""

import os
import secrets
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from datetime import UTC, datetime

from laburnumyard.cli._store import open_store
from laburnumyard.clients.publication import Store
from laburnumyard.core.ids import ChangeId

STORE_VARIABLE = 'LABURNUMYARD_STORE'
ADMIN_VARIABLE = 'LABURNUMYARD_ADMIN'
TOKEN_VARIABLE = 'LABURNUMYARD_TOKEN'
AUTHOR_VARIABLE = 'USER'
_CHANGE_ID_BYTES = 8


def draw_change_id() -> ChangeId:
    """Return an id that no other publication has."""
    return ChangeId(secrets.token_hex(_CHANGE_ID_BYTES))


def read_time() -> str:
    """Return the time in ISO 8601, in whole seconds."""
    return datetime.now(UTC).isoformat(timespec='seconds')


@dataclass(frozen=True, slots=True)
class Environment:
    """The surroundings of a command; tests replace them.

    Parameters
    ----------
    variables
        The environment variables.
    draw_change_id
        Draws the id of a publication.
    read_time
        Reads the time, in ISO 8601.
    open_store
        Opens a client of the store at an address.
    """

    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    draw_change_id: Callable[[], ChangeId] = draw_change_id
    read_time: Callable[[], str] = read_time
    open_store: Callable[[str], AbstractAsyncContextManager[Store]] = open_store
