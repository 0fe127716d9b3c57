"""Loads and validates the settings of a gateway."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from expression import Error, Result

from laburnumyard.core.file_problems import Problem, check_model, read_toml
from laburnumyard.schema._generated.gateway import GatewaySettings

# Keys of ``[machine]`` that the environment gives where the file does not.
MACHINE_VARIABLES = MappingProxyType(
    {
        'memory_mb': 'LABURNUMYARD_MEMORY_MB',
        'max_descriptors': 'LABURNUMYARD_MAX_DESCRIPTORS',
    }
)

NO_VARIABLES: Mapping[str, str] = MappingProxyType({})


def load_gateway_settings(
    text: str,
    source: str,
    environment: Mapping[str, str] = NO_VARIABLES,
) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Parse and validate the settings of a gateway.

    Parameters
    ----------
    text
        TOML document.
    source
        File name shown in problems.
    environment
        Environment variables; see ``MACHINE_VARIABLES``.

    Returns
    -------
    Result
        The settings, or all problems found.
    """
    document = read_toml(text, source)
    if document.is_error():
        return Error((document.error,))
    add_machine_limits(document.ok, environment)
    return check_model(document.ok, source, GatewaySettings)


def add_machine_limits(
    document: dict[str, Any], environment: Mapping[str, str]
) -> None:
    """Add the limits of the machine that the environment gives.

    A value that is not a number is added as it is, and is then reported.
    """
    machine = document.setdefault('machine', {})
    if not isinstance(machine, dict):
        return
    for key, variable in MACHINE_VARIABLES.items():
        text = environment.get(variable, '')
        if text:
            is_number = text.isascii() and text.isdecimal()
            machine.setdefault(key, int(text) if is_number else text)
