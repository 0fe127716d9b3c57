"""Validation, indexing, comparison and encoding of the configuration."""

from laburnumyard.core.configuration._difference import (
    Action,
    Change,
    difference,
)
from laburnumyard.core.configuration._encoding import (
    CHUNK_BYTES,
    EncodedConfiguration,
    FileChunks,
    decode_configuration,
    encode_configuration,
)
from laburnumyard.core.configuration._head import (
    HEAD_KEY,
    ConfigurationHead,
    chunk_key,
    decode_head,
    encode_head,
    history_key,
)
from laburnumyard.core.configuration._index import (
    Configuration,
    KeySpan,
    is_token_of,
)
from laburnumyard.core.configuration._parsing import parse_objects
from laburnumyard.core.configuration._published import (
    PublishedConfiguration,
    decode_published,
    encode_published,
)
from laburnumyard.core.file_problems import Problem

__all__ = (
    'CHUNK_BYTES',
    'HEAD_KEY',
    'Action',
    'Change',
    'Configuration',
    'ConfigurationHead',
    'EncodedConfiguration',
    'FileChunks',
    'KeySpan',
    'Problem',
    'PublishedConfiguration',
    'chunk_key',
    'decode_configuration',
    'decode_head',
    'decode_published',
    'difference',
    'encode_configuration',
    'encode_head',
    'encode_published',
    'history_key',
    'is_token_of',
    'parse_objects',
)
