"""The command line of the target stand-in."""

import signal

import anyio

from standins._serve import serving
from standins._target_app import TargetApp
from standins._target_state import Fencing, TargetSettings, TargetState

# A target that checks no grants learns nothing of its keys: it gives its
# callers this time to stop.
LEAST_LEAVE_S = 4
LEAVE_LIMIT_S = 10
POLL_S = 0.01


def serve_target(
    listen: str,
    name: str,
    service: str,
    slots: int = 3,
    fencing: str = 'token',
    **options: float | str,
) -> None:
    """Serve the target stand-in; leave gracefully on SIGTERM or SIGINT.

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
    anyio.run(_serve, TargetApp(settings), listen)


async def _serve(application: TargetApp, address: str) -> None:
    async with serving(application, address):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as told:
            await anext(aiter(told))
        await _leave(application.state)


async def _leave(state: TargetState) -> None:
    """Say so, and end once no key is held and no request runs."""
    state.is_leaving = True
    with anyio.move_on_after(LEAVE_LIMIT_S):
        await anyio.sleep(LEAST_LEAVE_S)
        while not state.may_end:  # noqa: ASYNC110
            await anyio.sleep(POLL_S)
