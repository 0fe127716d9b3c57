"""Problems in operators' files, and their conversion from model errors."""

import json
import math
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from difflib import get_close_matches
from itertools import chain
from types import MappingProxyType
from typing import Any, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

Model = TypeVar('Model', bound=BaseModel)

_MAX_VALUE_LENGTH = 60
# Nesting limit in levels, above that of any valid document.
_MAX_DEPTH = 8
_UNITS = MappingProxyType(
    {
        '_s': 'a number of seconds',
        '_per_s': 'a number of calls per second',
        '_bytes': 'a whole number of bytes',
    }
)
_PATTERNS = MappingProxyType(
    {
        '^[a-z][a-z0-9-]{0,62}$': (
            'give a name of 1 to 63 lower-case letters, digits and hyphens '
            'that starts with a letter'
        ),
        r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$': (
            'give an IP number and a port, such as 10.0.0.1:7000'
        ),
        '^[0-9a-f]{64}$': 'give 64 lower-case hexadecimal digits',
        '^([0-9a-f]{64})?$': 'give 64 lower-case hexadecimal digits',
    }
)


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in an operator's file.

    Parameters
    ----------
    file
        The name of the file.
    object
        The table or object, such as ``target catalogue-1``.
    field
        The field of the object; empty if the problem is the whole object.
    value
        The invalid value as text; empty where there is none.
    remedy
        What to write instead.
    """

    file: str
    object: str
    field: str
    value: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        place = ': '.join(part for part in (self.file, self.object) if part)
        if self.field:
            place = f'{place}: {self.field}'
        if self.value:
            place = f'{place} = {self.value}'
        return f'{place}: {self.remedy}'


def show_value(found: object) -> str:
    """Return the truncated ``repr`` of a value."""
    text = repr(found)
    if len(text) > _MAX_VALUE_LENGTH:
        shown = text[:_MAX_VALUE_LENGTH]
        return f'{shown}...'
    return text


def read_toml(text: str, file: str) -> Result[dict[str, Any], Problem]:
    """Parse a TOML document; non-finite numbers are kept as text.

    Parameters
    ----------
    text
        The document.
    file
        The name of the file, for problems.

    Returns
    -------
    Result
        The document as nested dictionaries, or the problem.
    """
    # An integer of thousands of digits raises a plain ValueError.
    try:
        document = tomllib.loads(text, parse_float=_parse_finite)
    except (ValueError, RecursionError) as fault:
        return Error(Problem(file, '', '', '', f'fix the TOML: {fault}'))
    if _is_too_deep(document):
        detail = f'nested too deeply; at most {_MAX_DEPTH} levels'
        return Error(Problem(file, '', '', '', f'fix the TOML: {detail}'))
    return Ok(document)


def find_remedy(fault: ErrorDetails, known: Mapping[str, Any]) -> str:
    """Return the remedy for a validation error.

    Parameters
    ----------
    fault
        One entry of ``ValidationError.errors()``.
    known
        The fields of the model that contains the error.

    Returns
    -------
    str
        What the operator should write instead.
    """
    field = str(fault['loc'][-1])
    if fault['type'] == 'missing':
        return 'add it; it has no default'
    if fault['type'] == 'extra_forbidden':
        return _suggest(field, known)
    if fault['type'] == 'string_pattern_mismatch':
        pattern = fault['ctx']['pattern']
        return _PATTERNS.get(pattern, f'give text that matches {pattern}')
    if fault['type'].endswith('_type'):
        wanted = _name_unit(field) or _describe(fault)
        return f'give {wanted}'
    return f'give {_describe(fault)}'


def check_model(
    document: Mapping[str, Any], source: str, model: type[Model]
) -> Result[Model, tuple[Problem, ...]]:
    """Validate a document against a model.

    Parameters
    ----------
    document
        The parsed file.
    source
        The name of the file.
    model
        The model of the whole file.
    """
    content = json.dumps(document, default=str)
    try:
        return Ok(model.model_validate_json(content, strict=True))
    except ValidationError as invalid:
        return Error(
            tuple(
                model_problem(fault, source, model)
                for fault in invalid.errors()
            )
        )


def model_problem(
    fault: ErrorDetails, source: str, model: type[BaseModel]
) -> Problem:
    """Convert a validation error to a problem.

    Parameters
    ----------
    fault
        One entry of ``ValidationError.errors()``.
    source
        The name of the file.
    model
        The model of the whole file.
    """
    *tables, field = map(str, fault['loc'])
    found = '' if fault['type'] == 'missing' else show_value(fault['input'])
    return Problem(
        source,
        '.'.join(f'[{table}]' for table in tables),
        field,
        found,
        find_remedy(fault, _known_fields(model, tables)),
    )


def _known_fields(
    model: type[BaseModel], tables: list[str]
) -> Mapping[str, Any]:
    for table in tables:
        model = model.model_fields[table].annotation
    return model.model_fields


def _is_too_deep(document: dict[str, Any]) -> bool:
    level: list[Any] = [document]
    for _ in range(_MAX_DEPTH):
        level = list(chain.from_iterable(map(_children, level)))
    return bool(level)


def _children(found: Any) -> Iterable[Any]:
    if isinstance(found, dict):
        return found.values()
    return found if isinstance(found, list) else ()


def _parse_finite(text: str) -> float | str:
    number = float(text)
    return number if math.isfinite(number) else text


def _suggest(field: str, known: Mapping[str, Any]) -> str:
    likely = get_close_matches(field, known, n=1)
    if likely:
        return f'unknown field; did you mean {likely[0]}?'
    names = ', '.join(known)
    return f'unknown field; remove it or use one of {names}'


def _describe(fault: ErrorDetails) -> str:
    wanted = fault['msg']
    for start in ('Input should be ', 'Input should ', 'String should '):
        wanted = wanted.removeprefix(start)
    return wanted


def _name_unit(field: str) -> str:
    units = _matching_units(field)
    return max(units, key=len, default='')


def _matching_units(field: str) -> Iterator[str]:
    for ending, unit in _UNITS.items():
        if field.endswith(ending):
            yield unit
