"""Environment variables that give the limits of the machine."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

# Keys of ``[machine]`` that the environment gives where the file does not.
MACHINE_VARIABLES = MappingProxyType(
    {
        'memory_mb': 'LABURNUMYARD_MEMORY_MB',
        'max_descriptors': 'LABURNUMYARD_MAX_DESCRIPTORS',
    }
)
NO_VARIABLES: Mapping[str, str] = MappingProxyType({})


def add_machine_variables(
    document: dict[str, Any], environment: Mapping[str, str]
) -> None:
    """Add the limits that the environment gives to a settings document.

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
