"""Queue of the member records that this daemon gossips."""

from collections.abc import Callable, Sequence

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._settings import MembershipSettings


class GossipQueue:
    """Members whose records are gossiped, with the rounds left for each.

    Parameters
    ----------
    settings
        Batch size, fan-out, rounds and interval of gossip.
    draw
        Returns a random number in [0, 1).
    """

    def __init__(
        self,
        settings: MembershipSettings,
        draw: Callable[[], float],
    ) -> None:
        """Start with an empty queue."""
        self.settings = settings
        self.draw = draw
        self.rounds_left: dict[DaemonName, int] = {}
        self.due_at = float(0)

    def add(self, daemon: DaemonName) -> None:
        """Queue the current record of a member for all rounds."""
        self.rounds_left[daemon] = self.settings.gossip_rounds

    def take_batch(self, now: float) -> tuple[DaemonName, ...]:
        """Return the members of the next batch, or () if none is due."""
        if not self.rounds_left or now < self.due_at:
            return ()
        self.due_at = now + self.settings.gossip_interval_s
        batch = tuple(self.rounds_left)[: self.settings.gossip_members]
        for daemon in batch:
            rounds = self.rounds_left.pop(daemon) - 1
            if rounds:
                self.rounds_left[daemon] = rounds
        return batch

    def choose_recipients(
        self, candidates: Sequence[DaemonName]
    ) -> set[DaemonName]:
        """Draw the random recipients of a batch."""
        count = min(self.settings.gossip_fanout, len(candidates))
        chosen: set[DaemonName] = set()
        while len(chosen) < count:
            chosen.add(candidates[int(self.draw() * len(candidates))])
        return chosen
