"""Encoding of a configuration as content-addressed chunks for the store."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import sha256
from types import MappingProxyType

from expression import Error, Result

from laburnumyard.core.configuration._index import Configuration
from laburnumyard.core.configuration._parsing import parse_objects
from laburnumyard.core.file_problems import Problem

# The store accepts values of twice this size.
CHUNK_BYTES = 524288


@dataclass(frozen=True, slots=True)
class FileChunks:
    """The chunks of one document.

    Parameters
    ----------
    name
        The name of the document's file.
    digests
        The SHA-256 of each chunk in order, in hexadecimal.
    """

    name: str
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EncodedConfiguration:
    """A configuration split into chunks.

    Parameters
    ----------
    files
        The documents, sorted by name.
    chunks
        The content of each chunk by its digest, at most ``CHUNK_BYTES``.
        Unchanged documents have the same chunks in every version.
    """

    files: tuple[FileChunks, ...]
    chunks: Mapping[str, bytes]


def encode_configuration(configuration: Configuration) -> EncodedConfiguration:
    """Split a configuration into chunks.

    Parameters
    ----------
    configuration
        A validated configuration.

    Returns
    -------
    EncodedConfiguration
        The chunks; identical for identical documents.
    """
    files = []
    chunks: dict[str, bytes] = {}
    for name, text in sorted(configuration.files.items()):
        parts = tuple(_split_into_chunks(text.encode()))
        digests = tuple(map(digest_of, parts))
        files.append(FileChunks(name, digests))
        chunks.update(zip(digests, parts, strict=True))
    return EncodedConfiguration(tuple(files), MappingProxyType(chunks))


def decode_configuration(
    encoded: EncodedConfiguration,
) -> Result[Configuration, tuple[Problem, ...]]:
    """Join chunks and validate the whole configuration again.

    Parameters
    ----------
    encoded
        Untrusted chunks from the store or a peer.

    Returns
    -------
    Result
        The configuration, or a problem for each missing or damaged chunk, or
        all problems of the objects.
    """
    chunk_problems = tuple(_find_chunk_problems(encoded))
    if chunk_problems:
        return Error(chunk_problems)
    joined = {
        item.name: b''.join(map(encoded.chunks.__getitem__, item.digests))
        for item in encoded.files
    }
    return parse_documents(joined)


def parse_documents(
    documents: Mapping[str, bytes],
) -> Result[Configuration, tuple[Problem, ...]]:
    """Parse documents of untrusted bytes.

    Parameters
    ----------
    documents
        The bytes of each file by its name.

    Returns
    -------
    Result
        The configuration, or every problem.
    """
    texts: dict[str, str] = {}
    encoding_problems: list[Problem] = []
    for name, content in documents.items():
        try:
            texts[name] = content.decode()
        except UnicodeDecodeError as invalid:
            remedy = f'save the file as UTF-8 ({invalid.reason})'
            encoding_problems.append(Problem(name, '', '', '', remedy))
    if encoding_problems:
        return Error(tuple(encoding_problems))
    return parse_objects(texts)


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of a chunk in hexadecimal, which is its key."""
    return sha256(content).hexdigest()


def _split_into_chunks(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content), CHUNK_BYTES):
        yield content[start : start + CHUNK_BYTES]


def _find_chunk_problems(encoded: EncodedConfiguration) -> Iterator[Problem]:
    for item in encoded.files:
        for digest in item.digests:
            remedy = _chunk_remedy(encoded.chunks, digest)
            if remedy:
                yield Problem(item.name, 'chunk', 'digest', digest, remedy)


def _chunk_remedy(chunks: Mapping[str, bytes], digest: str) -> str:
    if digest not in chunks:
        return 'the chunk is missing; publish the configuration again'
    if digest_of(chunks[digest]) != digest:
        return 'the chunk is damaged; publish the configuration again'
    return ''


def all_digests(files: Iterable[FileChunks]) -> tuple[str, ...]:
    """Return the digests of all chunks without duplicates, in order."""
    return tuple(
        dict.fromkeys(digest for item in files for digest in item.digests)
    )
