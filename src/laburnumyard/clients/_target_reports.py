"""Decodes the health, load and drain responses of targets."""

from expression import Result

from laburnumyard.clients import _target_messages as messages
from laburnumyard.clients._target_decoding import decode, read_leaving
from laburnumyard.transport._json_fields import Fields, read_boolean, read_count
from laburnumyard.transport._target_exchange import TargetResponse


def decode_drain(
    response: TargetResponse,
) -> Result[messages.DrainAnswer, messages.TargetError]:
    """Return the response to a drain request."""
    return decode(response, _read_drain)


def decode_health(
    response: TargetResponse,
) -> Result[messages.TargetHealth, messages.TargetError]:
    """Return the health that a target reports."""
    return decode(response, _read_health)


def decode_load(
    response: TargetResponse,
) -> Result[messages.TargetLoad, messages.TargetError]:
    """Return the load that a target reports."""
    return decode(response, _read_load)


def _read_drain(fields: Fields) -> messages.DrainAnswer:
    busy = read_count(fields, 'busy')
    return messages.DrainAnswer(read_boolean(fields, 'draining'), busy)


def _read_health(fields: Fields) -> messages.TargetHealth:
    healthy = read_boolean(fields, 'healthy')
    return messages.TargetHealth(healthy, read_leaving(fields))


def _read_load(fields: Fields) -> messages.TargetLoad:
    return messages.TargetLoad(
        read_count(fields, 'busy'), read_count(fields, 'slots')
    )
