"""Loads and validates the settings of a gateway."""

from expression import Error, Result

from laburnumyard.core.file_problems import Problem, check_model, read_toml
from laburnumyard.schema._generated.gateway import GatewaySettings


def load_gateway_settings(
    text: str, source: str
) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Parse and validate the settings of a gateway.

    Parameters
    ----------
    text
        TOML document.
    source
        File name shown in problems.

    Returns
    -------
    Result
        The settings, or all problems found.
    """
    document = read_toml(text, source)
    if document.is_error():
        return Error((document.error,))
    return check_model(document.ok, source, GatewaySettings)
