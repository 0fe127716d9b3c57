"""What the target stand-in is, holds and is made to suffer."""

import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import anyio

from standins._grants import Fence
from standins._runs import Run, RunLog
from standins._slots import Slots

NS_PER_MS = 1_000_000


class Fencing(Enum):
    """Whether the target checks who gives it an order."""

    TOKEN = 'token'
    NONE = 'none'


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """How the target stand-in behaves.

    Parameters
    ----------
    name, service
        Who it is and what it serves.
    slots, queue
        How many requests run at once, and how many more may wait.
    fencing
        Whether it checks grants.
    cold_start_s
        How long after its start work takes longer, in seconds.
    work_ms
        How long a request runs that names no other time.
    journal
        A file that gets a line at the start of each execution.
    """

    name: str
    service: str
    slots: int = 3
    queue: int = 64
    fencing: Fencing = Fencing.TOKEN
    cold_start_s: float = 0
    work_ms: float = 0
    journal: str = ''


@dataclass(slots=True)
class TargetFaults:
    """The faults that are switched on.

    Parameters
    ----------
    frozen
        Whether all calls wait until the target returns.
    misleading_health
        Whether health says the opposite and load says idle.
    shed
        Whether all requests are shed.
    silent
        Whether connections that were open when it was set never answer.
    """

    frozen: bool = False
    misleading_health: bool = False
    shed: bool = False
    silent: bool = False


def read_clock_ms() -> float:
    """Read the boot-time clock, in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS


@dataclass(slots=True)
class TargetState:
    """The state of one target stand-in."""

    settings: TargetSettings
    fence: Fence = field(default_factory=Fence)
    faults: TargetFaults = field(default_factory=TargetFaults)
    is_draining: bool = False
    is_leaving: bool = False
    clients: set[Any] = field(default_factory=set)
    silent_clients: set[Any] = field(default_factory=set)
    thawed: anyio.Event = field(default_factory=anyio.Event)
    running: dict[int, Run] = field(default_factory=dict)
    log: RunLog = field(init=False)
    slots: Slots = field(init=False)

    def __post_init__(self) -> None:
        """Start without grants and with all slots free."""
        self.log = RunLog(self.settings.journal)
        self.slots = Slots(
            self.settings.slots,
            self.settings.queue,
            self.settings.cold_start_s,
            read_clock_ms,
        )

    @property
    def is_shedding(self) -> bool:
        """Whether the next request is refused."""
        return self.faults.shed or self.is_draining or self.slots.is_full

    def owns(self, key_hash: str) -> bool:
        """Tell whether a key may be served now."""
        if self.settings.fencing is Fencing.NONE:
            return True
        if not key_hash.isdecimal():
            return False
        return self.fence.owns(int(key_hash), int(read_clock_ms()))

    @property
    def says_leaving(self) -> bool:
        """Whether the target tells those who ask that it is leaving."""
        return self.is_leaving or self.is_draining

    @property
    def may_end(self) -> bool:
        """Whether nothing runs and nobody counts on this target any more."""
        holds = self.fence.held(int(read_clock_ms()))
        return not holds and not self.slots.busy

    @property
    def busy_released(self) -> int:
        """How many requests run on keys that are no longer held."""
        runs = self.running.values()
        return sum(not self.owns(run.key_hash) for run in runs)

    def settle_faults(self) -> None:
        """Make the changed faults take effect."""
        if not self.faults.frozen:
            self.thawed.set()
            self.thawed = anyio.Event()
        silent = self.clients if self.faults.silent else ()
        self.silent_clients = set(silent)
