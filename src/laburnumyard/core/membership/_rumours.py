"""News that this daemon passes on."""

from collections.abc import Callable, Sequence

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._settings import MembershipSettings


class Rumours:
    """The members of which there is news, and how often it was sent.

    Parameters
    ----------
    settings
        How much is sent to how many.
    draw
        Returns a random number from 0 up to 1.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        draw: Callable[[], float],
    ) -> None:
        """Start without news."""
        self.settings = settings
        self.draw = draw
        self.left: dict[DaemonName, int] = {}
        self.due_at = float(0)

    def add(self, daemon: DaemonName) -> None:
        """Pass on the newest news of a member."""
        self.left[daemon] = self.settings.gossip_rounds

    def take(self, now: float) -> tuple[DaemonName, ...]:
        """Return the members of the next batch; empty while none is due."""
        if not self.left or now < self.due_at:
            return ()
        self.due_at = now + self.settings.gossip_interval_s
        batch = tuple(self.left)[: self.settings.gossip_members]
        for daemon in batch:
            rounds = self.left.pop(daemon) - 1
            if rounds:
                self.left[daemon] = rounds
        return batch

    def choose(self, candidates: Sequence[DaemonName]) -> set[DaemonName]:
        """Draw the members that get a batch."""
        count = min(self.settings.gossip_fanout, len(candidates))
        chosen: set[DaemonName] = set()
        while len(chosen) < count:
            chosen.add(candidates[int(self.draw() * len(candidates))])
        return chosen
