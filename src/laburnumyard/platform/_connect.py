"""Puts the parts of the platform's protocol together."""

from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import Platform
from laburnumyard.platform._orders import PlatformOrders
from laburnumyard.platform._store import PlatformStore
from laburnumyard.platform._wire_format import PlatformWireFormat


def connect_platform(store_address: str, timeout_s: Seconds) -> Platform:
    """Return the users' platform; connections are opened on demand.

    Parameters
    ----------
    store_address
        ``IP:PORT`` of the platform's store.
    timeout_s
        The longest wait for an answer of the store, in seconds.
    """
    return Platform(
        PlatformStore(store_address, timeout_s),
        PlatformOrders(),
        PlatformWireFormat(),
    )
