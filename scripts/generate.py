"""Generate typed messages from the Cap'n Proto schema, and settings models.

Run without arguments to write the generated files, or with ``--check`` to
compare them with what is committed.
"""

import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from itertools import chain
from pathlib import Path
from types import MappingProxyType

import capnp

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / 'src' / 'laburnumyard' / 'schema'
GENERATED = SCHEMA / '_generated'
MESSAGES = SCHEMA / 'messages.capnp'
MODEL_SCHEMAS = ('settings', 'objects', 'gateway')
PYTHON_TYPES = MappingProxyType(
    {
        'text': 'str',
        'data': 'bytes',
        'bool': 'bool',
        'uint8': 'int',
        'uint16': 'int',
        'uint32': 'int',
        'uint64': 'int',
    }
)
HEADER = '''"""Messages between daemons, generated from messages.capnp."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

capnp.remove_import_hook()
_schema = capnp.load(
    str(Path(__file__).resolve().parent.parent / 'messages.capnp'),
)
'''


def snake_case(name: str) -> str:
    """Turn a camelCase name into snake_case."""
    return re.sub('(?<!^)(?=[A-Z])', '_', name).lower()


def struct_name(schema) -> str:
    """Return the name of a struct without its file."""
    return schema.node.displayName.split(':')[1]


class FieldCode:
    """The code of one field of one struct."""

    def __init__(self, struct, field) -> None:
        """Read the field's type from the schema."""
        self.wire = field.proto.name
        self.name = snake_case(self.wire)
        self.kind = field.proto.slot.type.which()
        self.item = ''
        if self.kind == 'list':
            self.item = struct_name(struct.fields[self.wire].schema.elementType)

    @property
    def annotation(self) -> str:
        """The Python type of the field."""
        if self.item:
            return f'tuple[{self.item}, ...]'
        return PYTHON_TYPES[str(self.kind)]

    def write(self) -> Iterator[str]:
        """Yield the lines that put the field into a builder."""
        if not self.item:
            yield f'    builder.{self.wire} = message.{self.name}'
            return
        writer = f'_write_{snake_case(self.item)}'
        name = self.name
        yield f'    parts = message.{name}'
        yield f"    slots = builder.init('{self.wire}', len(parts))"
        yield '    for slot, part in zip(slots, parts, strict=True):'
        yield f'        {writer}(part, slot)'

    def read(self) -> str:
        """Return the argument that takes the field from a reader."""
        if not self.item:
            return f"{self.name}=get('{self.wire}')"
        parser = f'_read_{snake_case(self.item)}'
        return f"{self.name}=tuple(map({parser}, get('{self.wire}')))"


def struct_code(struct) -> Iterator[str]:
    """Yield the lines of one struct: its class, its writer and its reader."""
    name = struct_name(struct)
    function = snake_case(name)
    fields = [FieldCode(struct, field) for field in struct.fields_list]
    yield from ('', '', '@dataclass(frozen=True, slots=True)')
    yield f'class {name}:'
    yield f'    """The message ``{name}`` of messages.capnp."""'
    yield ''
    yield from (f'    {field.name}: {field.annotation}' for field in fields)
    yield from (
        '',
        '',
        f'def _write_{function}(message: {name}, builder: Any) -> None:',
    )
    yield from chain.from_iterable(field.write() for field in fields)
    yield from ('', '', f'def _read_{function}(reader: Any) -> {name}:')
    # Attributes of a reader go through __getattr__, at three times the cost.
    yield '    get = reader._get'
    yield f'    return {name}('
    yield from (f'        {field.read()},' for field in fields)
    yield '    )'


def envelope_code(envelope) -> Iterator[str]:
    """Yield the lines that tie each message to its place in the envelope."""
    parts = [
        (
            field.proto.name,
            struct_name(envelope.fields[field.proto.name].schema),
        )
        for field in envelope.fields_list
    ]
    yield from ('', '', 'Message = (')
    union = '\n    | '.join(name for _, name in parts)
    yield f'    {union}'
    yield from (')', '', '_WRITERS: dict[type, Any] = {')
    for wire, name in parts:
        function = snake_case(name)
        yield f"    {name}: ('{wire}', _write_{function}),"
    yield from ('}', '_READERS: dict[str, Any] = {')
    for wire, name in parts:
        function = snake_case(name)
        yield f"    '{wire}': _read_{function},"
    yield '}'


CODEC = '''

def encode(message: Message, number: int | None = None) -> bytes:
    """Return the bytes of a message in its envelope.

    Parameters
    ----------
    message
        Any message.
    number
        Goes in place of the message's own number, where it is given.
    """
    wire, write = _WRITERS[type(message)]
    envelope = _schema.Envelope.new_message()
    part = envelope.init(wire)
    write(message, part)
    if number is not None:
        part.number = number
    return envelope.to_bytes()


def decode(frame: bytes) -> Message:
    """Return the message of an envelope.

    Raises
    ------
    capnp.KjException
        If the bytes are no envelope of this schema.
    """
    with _schema.Envelope.from_bytes(frame) as envelope:
        wire = str(envelope.which())
        return _READERS[wire](getattr(envelope, wire))


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the packed bytes of an assignment, as the store keeps it."""
    builder = _schema.Assignment.new_message()
    _write_assignment(assignment, builder)
    return builder.to_bytes_packed()


def decode_assignment(content: bytes) -> Assignment:
    """Return the assignment of packed bytes.

    Raises
    ------
    capnp.KjException
        If the bytes are no assignment of this schema.
    """
    return _read_assignment(_schema.Assignment.from_bytes_packed(content))
'''


def message_code() -> str:
    """Return the text of the module of messages."""
    module = capnp.load(str(MESSAGES))
    structs = [
        getattr(module, name).schema
        for name in dir(module)
        if name[0].isupper() and name != 'Envelope'
    ]
    lines = [line for struct in structs for line in struct_code(struct)]
    lines.extend(envelope_code(module.Envelope.schema))
    return '\n'.join((HEADER, *lines, CODEC))


def generate_model(name: str, output: Path) -> None:
    """Write the pydantic models of one JSON Schema."""
    subprocess.run(
        [
            *(sys.executable, '-m', 'datamodel_code_generator'),
            *('--input', str(SCHEMA / f'{name}.schema.json')),
            *('--input-file-type', 'jsonschema'),
            *('--output', str(output)),
            *('--output-model-type', 'pydantic_v2.BaseModel'),
            *('--target-python-version', '3.11'),
            *('--disable-timestamp', '--use-schema-description'),
            *('--use-field-description', '--use-double-quotes'),
            *('--use-annotated', '--field-constraints'),
            *('--enum-field-as-literal', 'none', '--formatters', 'builtin'),
            *('--set-default-enum-member', '--enable-faux-immutability'),
            *('--collapse-root-models', '--strict-nullable'),
        ],
        check=True,
    )


def generate(folder: Path) -> list[Path]:
    """Write every generated file to a folder and return their paths."""
    messages = folder / 'messages.py'
    messages.write_text(message_code())
    paths = [messages]
    for name in MODEL_SCHEMAS:
        if (SCHEMA / f'{name}.schema.json').exists():
            generate_model(name, folder / f'{name}.py')
            paths.append(folder / f'{name}.py')
    return paths


def stale_files() -> list[str]:
    """Return the names of committed files that differ from the schema."""
    with tempfile.TemporaryDirectory(dir=GENERATED) as folder:
        return [
            path.name
            for path in generate(Path(folder))
            if not (GENERATED / path.name).exists()
            or path.read_text() != (GENERATED / path.name).read_text()
        ]


def main() -> None:
    """Write the generated files, or check those that are committed."""
    if '--check' not in sys.argv:
        generate(GENERATED)
        return
    stale = stale_files()
    if stale:
        sys.exit(f'generated files are stale: {stale}; run make generate')
    sys.stdout.write('generated code is current\n')


if __name__ == '__main__':
    main()
