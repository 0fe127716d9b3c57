"""Factory of the platform adapter."""

from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import Platform
from laburnumyard.platform._order_transport import PlatformOrders
from laburnumyard.platform._store_client import PlatformStore
from laburnumyard.platform._wire_format import PlatformWireFormat


def connect_platform(store_address: str, timeout_s: Seconds) -> Platform:
    """Return the platform adapter; connections are opened on demand.

    Parameters
    ----------
    store_address
        ``IP:PORT`` of the metadata store.
    timeout_s
        Timeout of a store call, in seconds.
    """
    return Platform(
        PlatformStore(store_address, timeout_s),
        PlatformOrders(),
        PlatformWireFormat(),
    )
