"""A small fake of the platform's store, in virtual time."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.control.network import Clock
from laburnumyard.core import dissemination
from laburnumyard.core.ids import Version

ANSWER_S = 0.003
TIMEOUT_S = 1.0
WATCH_S = 10.0

Answer = (
    dissemination.HeadRead
    | dissemination.HeadUnchanged
    | dissemination.ChunksRead
    | dissemination.StoreFailed
)
Callback = Callable[[Answer], None]


def make_document(
    name: dissemination.DocumentName,
    version: int,
    contents: tuple[bytes, ...],
) -> dissemination.Document:
    """Return a document with a head that `read_head` reads."""
    chunks = {dissemination.digest_of(content): content for content in contents}
    head = {'version': version, 'chunks': list(chunks)}
    stored = dissemination.StoredHead(version, json.dumps(head).encode())
    return dissemination.Document(name, Version(version), stored, chunks)


def read_head(
    name: dissemination.DocumentName, content: bytes
) -> dissemination.HeadSummary | None:
    """Read a head, or return None if it is malformed."""
    try:
        head = json.loads(content)
        return dissemination.HeadSummary(
            Version(head['version']),
            tuple(map(dissemination.Digest, head['chunks'])),
        )
    except (ValueError, KeyError, TypeError):
        return None


@dataclass(slots=True)
class Watch:
    """A watch that waits.

    Parameters
    ----------
    asked
        What it waits for.
    answer
        Takes the answer.
    is_open
        Whether it has not been answered yet.
    """

    asked: dissemination.ReadStore
    answer: Callback
    is_open: bool = True


@dataclass(slots=True)
class FakeStore:
    """Holds documents; may be down or slow.

    Parameters
    ----------
    clock
        The virtual time.
    documents
        What it holds.
    watches
        The watches that wait.
    calls
        How many calls came, a watch as one.
    is_down
        Whether calls time out.
    answer_s
        How long an answer takes, in seconds.
    """

    clock: Clock
    documents: dict[dissemination.DocumentName, dissemination.Document] = field(
        default_factory=dict
    )
    watches: list[Watch] = field(default_factory=list)
    calls: int = 0
    is_down: bool = False
    answer_s: float = ANSWER_S

    def put(self, document: dissemination.Document) -> None:
        """Accept a version and answer the watches that wait for it."""
        self.documents[document.name] = document
        for watch in tuple(self.watches):
            if watch.asked.name == document.name:
                self.settle(
                    watch, dissemination.HeadRead(document.name, document.head)
                )

    def read(self, asked: dissemination.ReadStore, answer: Callback) -> None:
        """Take a read or a watch."""
        self.calls += 1
        if self.fails(asked.name, answer):
            return
        document = self.documents.get(asked.name)
        if document and document.head.revision > (asked.after or 0):
            self.answer(
                answer, dissemination.HeadRead(asked.name, document.head)
            )
        elif asked.after is None:
            self.answer(answer, dissemination.HeadUnchanged(asked.name))
        else:
            watch = Watch(asked, answer)
            self.watches.append(watch)
            unchanged = dissemination.HeadUnchanged(asked.name)
            self.clock.call_in(WATCH_S, lambda: self.settle(watch, unchanged))

    def read_chunks(
        self, asked: dissemination.ReadChunks, answer: Callback
    ) -> None:
        """Take the reads of some chunks."""
        self.calls += len(asked.digests)
        if self.fails(asked.name, answer):
            return
        chunks = self.documents[asked.name].chunks
        found = {key: chunks[key] for key in asked.digests if key in chunks}
        self.answer(answer, dissemination.ChunksRead(asked.name, found))

    def fails(self, name: dissemination.DocumentName, answer: Callback) -> bool:
        """Let a call time out if the store is down or too slow."""
        if self.is_down or self.answer_s > TIMEOUT_S:
            failed = dissemination.StoreFailed(name)
            self.clock.call_in(TIMEOUT_S, lambda: answer(failed))
            return True
        return False

    def answer(self, callback: Callback, answer: Answer) -> None:
        """Answer after the delay of the store."""
        self.clock.call_in(self.answer_s, lambda: callback(answer))

    def settle(self, watch: Watch, answer: Answer) -> None:
        """Answer a watch once; one that a fault has hit fails instead."""
        if not watch.is_open:
            return
        watch.is_open = False
        self.watches.remove(watch)
        failed = dissemination.StoreFailed(watch.asked.name)
        self.answer(watch.answer, failed if self.is_down else answer)
