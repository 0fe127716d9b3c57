"""The lagging list of VMs of the platform stand-in."""

from dataclasses import dataclass, field
from typing import Any

Listed = list[dict[str, Any]]


@dataclass(slots=True)
class LaggingVms:
    """The true list of VMs, shown after a lag.

    Parameters
    ----------
    lag_s
        How long a change stays unseen, in seconds.
    """

    lag_s: float = 0
    shown: Listed = field(default_factory=list)
    coming: list[tuple[float, Listed]] = field(default_factory=list)

    def start(self, listed: Listed) -> None:
        """Set the list that is seen from the start."""
        self.shown = listed

    def change(self, listed: Listed, now: float) -> None:
        """Set the true list; it is seen after the lag."""
        self.coming.append((now + self.lag_s, listed))

    def read(self, now: float) -> Listed:
        """Return the list as it is seen at a time."""
        while self.coming and self.coming[0][0] <= now:
            self.shown = self.coming.pop(0)[1]
        return self.shown
