"""Reads the settings of a gateway."""

from expression import Error, Result

from laburnumyard.core.problems import Problem, check_model, read_toml
from laburnumyard.schema._generated.gateway import GatewaySettings


def load_gateway_settings(
    text: str, source: str
) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Read the settings of a gateway.

    Parameters
    ----------
    text
        The TOML document.
    source
        The name of its file, for problems.

    Returns
    -------
    Result
        The settings, or every problem that was found.
    """
    document = read_toml(text, source)
    if document.is_error():
        return Error((document.error,))
    return check_model(document.ok, source, GatewaySettings)
