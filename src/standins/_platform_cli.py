"""The command line of the platform stand-in."""

import json
from pathlib import Path

from standins._platform_app import PlatformApp
from standins._serve import run


def serve_platform(
    listen: str = '127.0.0.1:7900',
    vms: str = '',
    vms_lag_s: float = 0,
) -> None:
    """Serve the platform stand-in until the process is told to stop.

    Parameters
    ----------
    listen
        The address, ``IP:PORT``.
    vms
        A JSON file with the first list of VMs.
    vms_lag_s
        How long a change of the list stays unseen, in seconds.
    """
    application = PlatformApp(vms_lag_s=vms_lag_s)
    if vms:
        listed = json.loads(Path(vms).read_text(encoding='utf-8'))
        application.vms.start(listed)
    run(application, listen)
