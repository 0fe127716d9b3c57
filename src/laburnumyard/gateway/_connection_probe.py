"""TCP probe that tells whether an address refuses connections."""

import anyio

# Connect timeout; many times the network round trip.
PROBE_TIMEOUT_S = 0.2


async def refuses_connections(address: str) -> bool:
    """Tell whether connections to an address are refused."""
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
