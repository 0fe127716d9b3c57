"""The head of the published configuration, and the keys of the store."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from laburnumyard.core.configuration._encoding import FileChunks
from laburnumyard.core.ids import ChangeId, Version
from laburnumyard.core.problems import Problem, show_value

HEAD_KEY = 'config/head'


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """Which configuration is in force, and who published it.

    Parameters
    ----------
    version
        Rises by one with each publication, from 1.
    files
        The documents and their chunks.
    change_id
        The unique name of the publication, drawn by its operator's client.
    author
        Who published it.
    time
        When, in ISO 8601 with the offset from UTC.
    note
        Why, in the author's words.
    """

    version: Version
    files: tuple[FileChunks, ...]
    change_id: ChangeId
    author: str
    time: str
    note: str


_HEADS = TypeAdapter(ConfigurationHead)


def chunk_key(digest: str) -> str:
    """Return the store's key of a chunk."""
    return f'config/chunk/{digest}'


def history_key(version: Version) -> str:
    """Return the store's key of the head that once had a version."""
    return f'config/history/{version}'


def encode_head(head: ConfigurationHead) -> bytes:
    """Return the JSON of a head."""
    return _HEADS.dump_json(head)


def decode_head(content: bytes) -> Result[ConfigurationHead, Problem]:
    """Read a head from untrusted JSON.

    Parameters
    ----------
    content
        What the store or a peer gave.

    Returns
    -------
    Result
        The head, or the first thing that is wrong with it.
    """
    try:
        return Ok(_HEADS.validate_json(content))
    except ValidationError as invalid:
        fault = invalid.errors()[0]
        return Error(
            Problem(
                HEAD_KEY,
                'head',
                '.'.join(map(str, fault['loc'])),
                show_value(fault['input']),
                'restore the value from the history',
            )
        )
