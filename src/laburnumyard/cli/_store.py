"""Opens a store client for a command."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import SystemRandom

from laburnumyard.clients import StoreClient
from laburnumyard.clients.publication import Store
from laburnumyard.schema._generated.settings import StoreSettings

# A command makes all its calls in one burst, then exits.
_CALL_BURST = 500


@asynccontextmanager
async def open_store(address: str) -> AsyncIterator[Store]:
    """Open a client of the store.

    Parameters
    ----------
    address
        ``IP:PORT`` of the store.

    Yields
    ------
    Store
        The client; it is closed on exit.
    """
    settings = StoreSettings(address=address, call_burst=_CALL_BURST)
    client = StoreClient(settings, time.monotonic, SystemRandom().random)
    try:
        yield client
    finally:
        await client.close()
