"""The users' platform: its names, formats and calls, and nothing that decides.

Wire names end here. Everything that leaves this package is a type of the
product, and its fields say what they hold.
"""

from laburnumyard.platform._connect import connect_platform

__all__ = ('connect_platform',)
