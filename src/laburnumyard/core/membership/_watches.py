"""The members whose heartbeats this daemon waits for."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._settings import MembershipSettings


class Silence(Enum):
    """What the silence of a watched member asks for."""

    PROBE = 'probe'
    SUSPECT = 'suspect'


@dataclass(slots=True)
class Watch:
    """One watched member.

    Parameters
    ----------
    interval_s
        The interval that its last heartbeat promised, in seconds.
    heard_at
        When that heartbeat came, in seconds.
    is_probed
        Whether it was probed since.
    """

    interval_s: float
    heard_at: float
    is_probed: bool = False


class Watches:
    """The watched members.

    A heartbeat starts a watch; an answered probe ends it, so that a member
    that has chosen other watchers is not suspected, and the next heartbeat
    starts it again.

    Parameters
    ----------
    settings
        How much silence is borne.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Start with nobody watched."""
        self.settings = settings
        self.watched: dict[DaemonName, Watch] = {}

    def hear(self, daemon: DaemonName, interval_s: float, now: float) -> None:
        """Start or renew a watch."""
        self.watched[daemon] = Watch(interval_s, now)

    def stop(self, daemon: DaemonName) -> None:
        """End a watch."""
        self.watched.pop(daemon, None)

    def restart(self, now: float) -> None:
        """Give everyone a full interval again after a pause of this daemon."""
        for watch in self.watched.values():
            watch.heard_at = now
            watch.is_probed = False

    def find_silent(self, now: float) -> Iterator[tuple[DaemonName, Silence]]:
        """Yield the members that are silent too long, and what to do."""
        for daemon, watch in tuple(self.watched.items()):
            missed = (now - watch.heard_at) / watch.interval_s
            if missed >= self.settings.misses_to_suspect:
                self.stop(daemon)
                yield daemon, Silence.SUSPECT
            elif missed >= self.settings.misses_to_probe:
                if not watch.is_probed:
                    watch.is_probed = True
                    yield daemon, Silence.PROBE
