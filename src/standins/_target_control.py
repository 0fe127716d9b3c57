"""The control API of the target stand-in, and its own calls for tests."""

import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from standins._answers import answer, answer_compact, answer_json
from standins._asgi import Call
from standins._faults import apply_faults
from standins._grants import Lifetime, export_ranges, import_ranges
from standins._target_state import (
    NS_PER_MS,
    Fencing,
    TargetState,
    read_clock_ms,
)

FENCED_CALLS = frozenset(('seal', 'grant', 'renew'))
RENEWAL_FIELDS = ('service', 'term', 'sequence', 'clock_ms', 'lifetime_ms')


async def answer_stand_in(state: TargetState, call: Call) -> None:
    """Answer a call of a test: faults, runs, grants."""
    match call.path:
        case '/stand-in/runs':
            await answer_json(call, state.log.export())
        case '/stand-in/grants':
            await answer_json(call, _export_grants(state))
        case '/stand-in/faults':
            apply_faults(state.faults, await call.read_json())
            state.settle_faults()
            await answer_json(call, {})
        case _:
            await answer(call, HTTPStatus.NOT_FOUND)


async def answer_control(state: TargetState, call: Call) -> None:
    """Answer a call of the control API."""
    name = call.path.removeprefix('/control/')
    decoded = await call.read_decoded()
    message = decoded if isinstance(decoded, dict) else {}
    if name == 'renew':
        message = _name_fields(decoded)
    if name in FENCED_CALLS:
        await _answer_fenced(state, call, message)
    elif name == 'drain':
        state.is_draining = bool(message.get('draining'))
        drain = {'draining': state.is_draining, 'busy': state.slots.busy}
        await answer_json(call, drain)
    else:
        await _answer_hint(state, call)


async def _answer_hint(state: TargetState, call: Call) -> None:
    is_misleading = state.faults.misleading_health
    match call.path:
        case '/control/health':
            health = {
                'healthy': not is_misleading,
                'leaving': state.says_leaving,
            }
            await answer_compact(call, health)
        case '/control/load':
            busy = 0 if is_misleading else state.slots.busy
            load = {'busy': busy, 'slots': state.settings.slots}
            await answer_json(call, load)
        case _:
            await answer(call, HTTPStatus.NOT_FOUND)


async def _answer_fenced(
    state: TargetState,
    call: Call,
    message: Mapping[str, Any],
) -> None:
    if state.settings.fencing is Fencing.NONE:
        await answer(call, HTTPStatus.NOT_FOUND)
        return
    now_ms = int(read_clock_ms())
    try:
        is_accepted = _accept(state, call.path, message, now_ms)
    except (KeyError, TypeError, ValueError):
        await answer(call, HTTPStatus.BAD_REQUEST)
        return
    if is_accepted and call.path == '/control/renew':
        await answer_compact(call, _renewed(state, now_ms))
        return
    status = HTTPStatus.OK if is_accepted else HTTPStatus.CONFLICT
    fence = state.fence
    reply = {
        'accepted': is_accepted,
        'term': fence.term,
        'sequence': fence.sequence,
        'clock_ms': now_ms,
        'busy': state.busy_released,
        'leaving': state.says_leaving,
    }
    if call.path != '/control/renew':
        reply['ranges'] = export_ranges(fence.held(now_ms))
    await answer_compact(call, reply, status)


def _name_fields(decoded: Any) -> dict[str, Any]:
    """Return the fields of a renewal, none if it is malformed."""
    if isinstance(decoded, list) and len(decoded) == len(RENEWAL_FIELDS):
        return dict(zip(RENEWAL_FIELDS, decoded, strict=True))
    return {}


def _renewed(state: TargetState, now_ms: int) -> dict[str, Any]:
    """Return what the sender of an accepted renewal cannot know."""
    reply: dict[str, Any] = {'clock_ms': now_ms}
    if state.busy_released:
        reply['busy'] = state.busy_released
    if state.says_leaving:
        reply['leaving'] = True
    return reply


def _accept(
    state: TargetState,
    path: str,
    message: Mapping[str, Any],
    now_ms: int,
) -> bool:
    if message['service'] != state.settings.service:
        return False
    if path == '/control/seal':
        return state.fence.seal(int(message['term']))
    life = Lifetime(
        int(message['term']),
        int(message['sequence']),
        int(message['clock_ms']),
        int(message['lifetime_ms']),
    )
    if path == '/control/renew':
        return state.fence.renew(life, now_ms)
    return state.fence.grant(life, import_ranges(message['ranges']), now_ms)


def _export_grants(state: TargetState) -> dict[str, Any]:
    return {
        'name': state.settings.name,
        'service': state.settings.service,
        'fencing': state.settings.fencing.value,
        'clock_ms': read_clock_ms(),
        'wall_ms': time.time_ns() / NS_PER_MS,
        'grants': state.fence.export_history(),
    }
