"""Reads the settings of a gateway."""

import json

from expression import Error, Ok, Result
from pydantic import ValidationError

from laburnumyard.core.problems import (
    Problem,
    model_problem,
    read_toml,
)
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
    content = json.dumps(document.ok, default=str)
    try:
        return Ok(GatewaySettings.model_validate_json(content, strict=True))
    except ValidationError as invalid:
        return Error(
            tuple(
                model_problem(fault, source, GatewaySettings)
                for fault in invalid.errors()
            )
        )
