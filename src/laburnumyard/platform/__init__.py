"""Adapter to the users' platform: its names, formats and calls.

The package makes no decisions. Names of the wire format are used only here;
all results are types of ``gateway`` and ``core``.
"""

from laburnumyard.platform._connect import connect_platform

__all__ = ('connect_platform',)
