"""Loads and validates the settings of a gateway."""

from collections.abc import Mapping

from expression import Error, Result

from laburnumyard.core.file_problems import Problem, check_model, read_toml
from laburnumyard.core.machine_variables import (
    NO_VARIABLES,
    add_machine_variables,
)
from laburnumyard.schema._generated.gateway import GatewaySettings


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
        Environment variables; see ``core.machine_variables``.

    Returns
    -------
    Result
        The settings, or all problems found.
    """
    document = read_toml(text, source)
    if document.is_error():
        return Error((document.error,))
    add_machine_variables(document.ok, environment)
    return check_model(document.ok, source, GatewaySettings)
