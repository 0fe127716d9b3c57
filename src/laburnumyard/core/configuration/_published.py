"""A published configuration and its head, encoded as one document for peers."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from laburnumyard.core.configuration._encoding import (
    encode_configuration,
    parse_documents,
)
from laburnumyard.core.configuration._head import ConfigurationHead
from laburnumyard.core.configuration._index import Configuration
from laburnumyard.core.file_problems import Problem


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """A published configuration and its head.

    Parameters
    ----------
    head
        The version, author and chunks of the configuration.
    configuration
        The validated objects.
    """

    head: ConfigurationHead
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class _Document:
    head: ConfigurationHead
    files: dict[str, str]


_DOCUMENTS = TypeAdapter(_Document)


def encode_published(published: PublishedConfiguration) -> bytes:
    """Return the JSON that one daemon sends to another.

    Parameters
    ----------
    published
        The active configuration.

    Returns
    -------
    bytes
        JSON with the head and the documents.
    """
    files = dict(published.configuration.files)
    return _DOCUMENTS.dump_json(_Document(published.head, files))


def decode_published(
    content: bytes,
) -> Result[PublishedConfiguration, tuple[Problem, ...]]:
    """Decode and validate a configuration from another daemon.

    Parameters
    ----------
    content
        Untrusted JSON from the peer.

    Returns
    -------
    Result
        The configuration, or all problems. Documents that do not match the
        digests in the head are rejected.
    """
    try:
        document = _DOCUMENTS.validate_json(content)
    except ValidationError as invalid:
        detail = invalid.errors()[0]['msg']
        return Error((_peer_problem(f'ask another peer ({detail})'),))
    documents = {name: text.encode() for name, text in document.files.items()}
    return parse_documents(documents).bind(
        lambda found: _match_digests(document.head, found),
    )


def _match_digests(
    head: ConfigurationHead,
    configuration: Configuration,
) -> Result[PublishedConfiguration, tuple[Problem, ...]]:
    if encode_configuration(configuration).files != head.files:
        return Error((_peer_problem('the documents do not match their head'),))
    return Ok(PublishedConfiguration(head, configuration))


def _peer_problem(remedy: str) -> Problem:
    return Problem('peer', 'configuration', '', '', remedy)
