"""Environment of a command: variables, time, randomness, store access."""

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
GATEWAY_VARIABLE = 'LABURNUMYARD_GATEWAY'
TOKEN_VARIABLE = 'LABURNUMYARD_TOKEN'
AUTHOR_VARIABLE = 'USER'
_CHANGE_ID_BYTES = 8


def new_change_id() -> ChangeId:
    """Return a unique random id for a publication."""
    return ChangeId(secrets.token_hex(_CHANGE_ID_BYTES))


def read_time() -> str:
    """Return the current UTC time in ISO 8601, in whole seconds."""
    return datetime.now(UTC).isoformat(timespec='seconds')


@dataclass(frozen=True, slots=True)
class Environment:
    """Dependencies of a command, which tests replace.

    Parameters
    ----------
    variables
        The environment variables.
    new_change_id
        Returns a unique id for a publication.
    read_time
        Returns the current time, in ISO 8601.
    open_store
        Opens a store client for an address.
    """

    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    new_change_id: Callable[[], ChangeId] = new_change_id
    read_time: Callable[[], str] = read_time
    open_store: Callable[[str], AbstractAsyncContextManager[Store]] = open_store
