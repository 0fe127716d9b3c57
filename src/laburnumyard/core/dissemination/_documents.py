"""The replicated documents of a daemon: configuration and assignments."""

from collections.abc import Callable

from laburnumyard.core.call_budget import CallBudget
from laburnumyard.core.dissemination._adoption import own_digest
from laburnumyard.core.dissemination._document import (
    Document,
    DocumentName,
    HeadReader,
    Source,
)
from laburnumyard.core.dissemination._effects import Effect
from laburnumyard.core.dissemination._event_handlers import Event, react
from laburnumyard.core.dissemination._settings import DisseminationSettings
from laburnumyard.core.dissemination._state import DocumentsState


class Documents:
    """The documents of a daemon; versions only increase during its lifetime.

    Parameters
    ----------
    settings
        Intervals and bounds.
    read_head
        Reads the summary of a head.
    draw
        Returns a random number in [0, 1).

    Examples
    --------
    ``for effect in documents.handle(Tick(), now): run(effect)``
    """

    def __init__(
        self,
        settings: DisseminationSettings,
        read_head: HeadReader,
        draw: Callable[[], float],
    ) -> None:
        """Start without documents."""
        budget = CallBudget(settings.calls_per_s, settings.call_burst)
        self.state = DocumentsState(settings, read_head, draw, budget)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Apply an event.

        Parameters
        ----------
        event
            The event.
        now
            The boot-time clock, in seconds.

        Returns
        -------
        list of Effect
            The effects for the caller to execute, in this order.
        """
        self.state.now = now
        self.state.effects = []
        react(event, self.state)
        return self.state.effects

    def find(self, name: DocumentName) -> Document | None:
        """Return the active version, or None."""
        entry = self.state.entries.get(name)
        return entry.newest if entry else None

    def source_of(self, name: DocumentName) -> Source | None:
        """Return the source of the active version, or None."""
        entry = self.state.entries.get(name)
        return entry.source if entry else None

    def digest(self) -> int:
        """Return the digest of all versions, as carried by heartbeats."""
        return own_digest(self.state)
