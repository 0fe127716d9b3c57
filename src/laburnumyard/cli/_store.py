"""The store's client for commands."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import SystemRandom

from laburnumyard.clients import StoreClient
from laburnumyard.clients.publication import Store
from laburnumyard.schema._generated.settings import StoreSettings

# A command makes its calls at once and ends.
_CALL_BURST = 500


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
    settings = StoreSettings(address=address, call_burst=_CALL_BURST)
    client = StoreClient(settings, time.monotonic, SystemRandom().random)
    try:
        yield client
    finally:
        await client.close()
