"""Chunk writes of a simulated daemon, one call each as in the real daemon."""

from collections.abc import Callable

# Seconds for which a written chunk need not be written again.
REUSED_S = 30


class ChunkWriter:
    """Writes each chunk once and notifies all its waiters."""

    def __init__(self, store, daemon) -> None:
        self.store = store
        self.daemon = daemon
        self.written_at: dict[str, float] = {}
        self.waiting: dict[str, list] = {}

    def write_all(self, chunks, answer: Callable[[bool], None]) -> None:
        """Write chunks concurrently; answer whether all were written."""
        missing = {chunk.digest for chunk in chunks}
        outcomes: list[bool] = []

        def note(is_written):
            outcomes.append(is_written)
            if len(outcomes) == len(missing):
                answer(all(outcomes))

        for chunk in chunks:
            self._write(chunk, note)
        if not missing:
            answer(True)

    def _write(self, chunk, note: Callable[[bool], None]) -> None:
        clock = self.daemon.clock
        written_at = self.written_at.get(chunk.digest)
        if written_at is not None and clock < written_at + REUSED_S:
            note(True)
            return
        waiting = self.waiting.setdefault(chunk.digest, [])
        waiting.append(note)
        if len(waiting) > 1:
            return

        def finish(outcome):
            if outcome is not None:
                self.written_at[chunk.digest] = clock
            for each in self.waiting.pop(chunk.digest):
                each(outcome is not None)

        self.store.write_chunk(self.daemon, chunk, finish)
