"""The command line of the target stand-in."""

from standins._serve import run
from standins._target_app import TargetApp
from standins._target_state import Fencing, TargetSettings


def serve_target(
    listen: str,
    name: str,
    service: str,
    slots: int = 3,
    fencing: str = 'token',
    **options: float | str,
) -> None:
    """Serve the target stand-in until the process is told to stop.

    Parameters
    ----------
    listen
        The address, ``IP:PORT``.
    name, service
        Who it is and what it serves.
    slots
        How many requests run at once.
    fencing
        ``token`` or ``none``.
    **options
        ``queue``, ``cold_start_s``, ``work_ms`` and ``journal``.
    """
    settings = TargetSettings(
        str(name),
        str(service),
        slots,
        fencing=Fencing(fencing),
        **options,  # type: ignore[arg-type]
    )
    run(TargetApp(settings), listen)
