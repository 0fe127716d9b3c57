"""Runs a gateway on the users' platform: ``python -m laburnumyard.platform``.

Separate from the ``laburnumyard`` command, so that a small VM does not load
the operator commands.
"""

import os
import sys
from functools import partial
from pathlib import Path

import anyio

from laburnumyard.core.ids import Seconds
from laburnumyard.gateway import load_gateway_settings, serve
from laburnumyard.platform._connect import connect_platform
from laburnumyard.schema._generated.gateway import GatewaySettings
from laburnumyard.telemetry import configure_stdout

SETTINGS_VARIABLE = 'LABURNUMYARD_CONFIG'
USAGE_EXIT_CODE = 2


def read_settings(source: str) -> GatewaySettings | None:
    """Return the settings of a file, or print the problems; None if invalid."""
    try:
        text = Path(source).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        sys.stderr.write(f'{source}: {fault}; set {SETTINGS_VARIABLE}\n')
        return None
    loaded = load_gateway_settings(text, source, os.environ)
    if loaded.is_ok():
        return loaded.ok
    for problem in loaded.error:
        sys.stderr.write(f'{problem}\n')
    return None


def main() -> int:
    """Run the gateway and return the exit code."""
    source = os.environ.get(SETTINGS_VARIABLE, '')
    settings = read_settings(source)
    if settings is None:
        return USAGE_EXIT_CODE
    configure_stdout(settings.log.level.value)
    platform = connect_platform(
        settings.store.address, Seconds(settings.store.timeout_s)
    )
    anyio.run(serve, settings, partial(read_settings, source), platform)
    return 0


if __name__ == '__main__':
    sys.exit(main())
