"""TCP probes that tell whether an address takes or refuses connections."""

import anyio

# Connect timeout; many times the network round trip.
PROBE_TIMEOUT_S = 0.2


async def refuses_connections(address: str) -> bool:
    """Tell whether connections to an address are refused."""
    try:
        await _connect(address)
    except TimeoutError:
        return False
    except OSError as fault:
        return isinstance(fault.__cause__, ConnectionRefusedError)
    return False


async def accepts_connections(address: str) -> bool:
    """Tell whether a connection to an address can be opened."""
    try:
        await _connect(address)
    except OSError:
        return False
    return True


async def _connect(address: str) -> None:
    """Open and close a connection; ``OSError`` or ``TimeoutError`` if not."""
    host, _, port = address.rpartition(':')
    with anyio.fail_after(PROBE_TIMEOUT_S):
        stream = await anyio.connect_tcp(host, int(port))
    await stream.aclose()
