"""Patches between two versions of a document."""

import zlib
from collections.abc import Iterator, Mapping

import capnp

from laburnumyard.core.dissemination._document import (
    Digest,
    Document,
    DocumentName,
    HeadReader,
    StoredHead,
    digest_of,
)
from laburnumyard.schema._generated import messages


def make_patch(base: Document | None, document: Document) -> bytes:
    """Return the patch from one version to another.

    Parameters
    ----------
    base
        The version that the receiver holds, or None.
    document
        The version that it should hold.

    Returns
    -------
    bytes
        An encoded `DocumentPatch`. The head and each new chunk are compressed
        with the content they replace as the dictionary, so that a small change
        gives a small patch.
    """
    old = base.chunks if base else {}
    replaced = dict(zip(document.chunks, old, strict=False))
    if len(document.chunks) != len(old):
        replaced = {}
    chunks = tuple(
        _chunk_patch(old, replaced.get(digest, Digest('')), content)
        for digest, content in document.chunks.items()
        if digest not in old
    )
    patch = messages.DocumentPatch(
        revision=document.head.revision,
        head=compress(
            document.head.content,
            base.head.content if base else b'',
        ),
        chunks=chunks,
    )
    return messages.encode(patch)


def _chunk_patch(
    old: Mapping[Digest, bytes],
    base: Digest,
    content: bytes,
) -> messages.ChunkPatch:
    dictionary = old.get(base, b'')
    return messages.ChunkPatch(
        base=base if dictionary else '',
        content=compress(content, dictionary),
    )


def compress(content: bytes, dictionary: bytes) -> bytes:
    """Compress bytes with a dictionary of similar content."""
    compressor = zlib.compressobj(zdict=dictionary)
    return compressor.compress(content) + compressor.flush()


def decompress(content: bytes, dictionary: bytes, limit: int) -> bytes:
    """Decompress untrusted bytes written by `compress`.

    Raises
    ------
    ValueError
        If the bytes are damaged, or their content exceeds `limit` bytes.
    """
    decompressor = zlib.decompressobj(zdict=dictionary)
    try:
        whole = decompressor.decompress(content, limit)
    except zlib.error as error:
        raise ValueError(f'patch is damaged: {error}') from error
    if not decompressor.eof:
        raise ValueError(f'patch is truncated or over {limit} bytes')
    return whole


class PatchApplier:
    """Applies untrusted patches.

    Parameters
    ----------
    read_head
        Reads the summary of a head.
    limit_bytes
        The largest document.
    """

    def __init__(self, read_head: HeadReader, limit_bytes: int) -> None:
        """Store the parameters."""
        self.read_head = read_head
        self.limit_bytes = limit_bytes

    def apply(
        self,
        name: DocumentName,
        base: Document | None,
        content: bytes,
    ) -> Document:
        """Apply a patch to a version.

        Parameters
        ----------
        name
            The name of the document.
        base
            The version that the patch is based on, or None.
        content
            The patch.

        Returns
        -------
        Document
            The complete document; every chunk matches its digest in the head.

        Raises
        ------
        ValueError
            If the patch is damaged, lacks a chunk or is over the limit.
        """
        patch = _decode_patch(content)
        old_head = base.head.content if base else b''
        head = decompress(patch.head, old_head, self.limit_bytes)
        old = dict(base.chunks) if base else {}
        chunks = old | dict(self.read_chunks(patch, old))
        return assemble_document(
            self.read_head,
            name,
            StoredHead(patch.revision, head),
            chunks,
        )

    def read_chunks(
        self,
        patch: messages.DocumentPatch,
        old: Mapping[Digest, bytes],
    ) -> Iterator[tuple[Digest, bytes]]:
        """Yield the new chunks of a patch with their computed digests."""
        remaining_bytes = self.limit_bytes
        for chunk in patch.chunks:
            dictionary = old.get(Digest(chunk.base), b'')
            whole = decompress(chunk.content, dictionary, remaining_bytes)
            remaining_bytes -= len(whole)
            if remaining_bytes <= 0:
                raise ValueError(f'document is over {self.limit_bytes} bytes')
            yield digest_of(whole), whole


def assemble_document(
    read_head: HeadReader,
    name: DocumentName,
    head: StoredHead,
    chunks: Mapping[Digest, bytes],
) -> Document:
    """Build a document from a head and a superset of its chunks.

    Raises
    ------
    ValueError
        If the head is malformed or a chunk is missing.
    """
    summary = read_head(name, head.content)
    if summary is None:
        raise ValueError(f'the head of {name} is malformed')
    missing = [digest for digest in summary.digests if digest not in chunks]
    if missing:
        raise ValueError(f'{name} lacks chunk {missing[0]}')
    own = {digest: chunks[digest] for digest in summary.digests}
    return Document(name, summary.version, head, own)


def _decode_patch(content: bytes) -> messages.DocumentPatch:
    try:
        patch = messages.decode(content)
    except (capnp.KjException, LookupError) as error:
        raise ValueError('content is not an encoded patch') from error
    if not isinstance(patch, messages.DocumentPatch):
        raise ValueError(f'expected DocumentPatch, got {type(patch).__name__}')
    return patch
