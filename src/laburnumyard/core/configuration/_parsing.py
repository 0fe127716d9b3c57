"""Parsing of the operators' TOML documents into a configuration."""

import json
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from laburnumyard.core.configuration._checks import find_problems
from laburnumyard.core.configuration._index import Configuration, index_objects
from laburnumyard.core.configuration._object_set import ObjectSet
from laburnumyard.core.file_problems import (
    Problem,
    find_remedy,
    read_toml,
    show_value,
)
from laburnumyard.schema._generated.objects import Objects, Share

_MODELS = MappingProxyType(
    {
        kind: field.annotation.__args__[0]
        for kind, field in Objects.model_fields.items()
    }
)


def parse_objects(
    files: Mapping[str, str],
) -> Result[Configuration, tuple[Problem, ...]]:
    """Parse and validate the whole set of objects.

    Parameters
    ----------
    files
        TOML documents by file name. Objects may refer to objects in other
        files.

    Returns
    -------
    Result
        The configuration, or the problems of all files.

    Examples
    --------
    >>> [problem] = parse_objects({}).error
    >>> problem.remedy
    'add a [[service]]'
    """
    object_set = ObjectSet()
    problems: list[Problem] = []
    for file, text in files.items():
        match _parse_file(file, text):
            case Result(tag='ok', ok=objects):
                object_set.add(file, objects)
            case Result(error=found):
                problems.extend(found)
    # References into an unparsable file would be reported as dangling.
    if not problems:
        problems.extend(find_problems(object_set))
    if problems:
        return Error(tuple(problems))
    return Ok(index_objects(files, object_set.objects))


def _parse_file(
    file: str,
    text: str,
) -> Result[Objects, tuple[Problem, ...]]:
    match read_toml(text, file):
        case Result(tag='ok', ok=document):
            return _validate(file, document)
        case Result(error=problem):
            return Error((problem,))


def _validate(
    file: str,
    document: dict[str, Any],
) -> Result[Objects, tuple[Problem, ...]]:
    content = json.dumps(document, default=str)
    try:
        return Ok(Objects.model_validate_json(content, strict=True))
    except ValidationError as invalid:
        return Error(tuple(_model_problems(file, document, invalid)))


def _model_problems(
    file: str,
    document: dict[str, Any],
    invalid: ValidationError,
) -> Iterator[Problem]:
    for fault in invalid.errors():
        is_missing = fault['type'] == 'missing'
        yield Problem(
            file,
            _title(document, fault),
            '.'.join(map(str, fault['loc'][2:])),
            '' if is_missing else show_value(fault['input']),
            find_remedy(fault, _known_fields(fault)),
        )


def _title(document: dict[str, Any], fault: ErrorDetails) -> str:
    kind, *place = fault['loc']
    if not place:
        return f'[[{kind}]]'
    table = document[kind][place[0]]
    name = table.get('name') if isinstance(table, dict) else None
    if isinstance(name, str):
        return f'{kind} {name}'
    number = place[0] + 1
    return f'{kind} number {number}'


def _known_fields(fault: ErrorDetails) -> Mapping[str, Any]:
    kind, *place = fault['loc']
    model: type[BaseModel] = Objects
    if place:
        model = Share if 'shares' in place[:-1] else _MODELS[kind]
    return model.model_fields
