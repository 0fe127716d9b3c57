"""Failure detection from missed heartbeats."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._settings import MembershipSettings


class SilenceAction(Enum):
    """Action due when a monitored member has missed heartbeats."""

    PROBE = 'probe'
    SUSPECT = 'suspect'


@dataclass(slots=True)
class WatchedMember:
    """Heartbeat record of one monitored member.

    Parameters
    ----------
    interval_s
        The interval announced by its last heartbeat, in seconds.
    heard_at
        When that heartbeat arrived, in seconds.
    is_probed
        Whether the member was probed since that heartbeat.
    """

    interval_s: float
    heard_at: float
    is_probed: bool = False


class FailureDetector:
    """Finds monitored members that have missed heartbeats.

    A heartbeat starts monitoring its sender. An answered probe ends it, so that
    a member that now sends its heartbeats to other watchers is not suspected;
    the next heartbeat starts it again.

    Parameters
    ----------
    settings
        Numbers of missed heartbeats before a probe and before a suspicion.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Start with no monitored members."""
        self.settings = settings
        self.watched: dict[DaemonName, WatchedMember] = {}

    def record_heartbeat(
        self, daemon: DaemonName, interval_s: float, now: float
    ) -> None:
        """Start or renew the monitoring of a member."""
        self.watched[daemon] = WatchedMember(interval_s, now)

    def stop(self, daemon: DaemonName) -> None:
        """Stop monitoring a member."""
        self.watched.pop(daemon, None)

    def restart(self, now: float) -> None:
        """Restart all timeouts after a pause of this process."""
        for watch in self.watched.values():
            watch.heard_at = now
            watch.is_probed = False

    def find_silent(
        self, now: float
    ) -> Iterator[tuple[DaemonName, SilenceAction]]:
        """Yield the members with missed heartbeats and the action due."""
        for daemon, watch in tuple(self.watched.items()):
            missed = (now - watch.heard_at) / watch.interval_s
            if missed >= self.settings.misses_to_suspect:
                self.stop(daemon)
                yield daemon, SilenceAction.SUSPECT
            elif missed >= self.settings.misses_to_probe:
                if not watch.is_probed:
                    watch.is_probed = True
                    yield daemon, SilenceAction.PROBE
