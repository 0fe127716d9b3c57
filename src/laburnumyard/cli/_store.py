"""The store's client for commands."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumyard.platform.publication import Store


@asynccontextmanager
async def open_store(address: str) -> AsyncIterator[Store]:
    """Open a client of the store.

    Parameters
    ----------
    address
        The IP number and port of the store.

    Yields
    ------
    Store
        The client, until the command ends.
    """
    raise NotImplementedError(f'no client of the store at {address} yet')
    yield
