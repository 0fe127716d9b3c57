"""HTTP gateway: routes requests to pooled and sharded services."""

from laburnumyard.gateway._platform_interface import Platform
from laburnumyard.gateway._run import Gateway, serve
from laburnumyard.gateway._settings import load_gateway_settings

__all__ = ('Gateway', 'Platform', 'load_gateway_settings', 'serve')
