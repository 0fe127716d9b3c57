"""Finds out whether the process at an address has ended."""

import anyio

# The longest wait for a connection, in seconds; many times the travel time.
PROBE_TIMEOUT_S = 0.2


async def refuses_connections(address: str) -> bool:
    """Tell whether nothing listens at an address."""
    host, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except TimeoutError:
        return False
    except OSError as fault:
        return isinstance(fault.__cause__, ConnectionRefusedError)
    await stream.aclose()
    return False
