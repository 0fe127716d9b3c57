"""What the listeners of a daemon share to stay within the machine's limits."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from laburnumyard.core.memory_account import MemoryAccount, MemoryClaim
from laburnumyard.intake import (
    NO_LIMITS,
    IntakeBounds,
    MachineLimits,
    ParsingQueue,
    cut_for_memory,
    derive_bounds,
    read_machine_limits,
)
from laburnumyard.schema._generated.settings import MachineSettings


class IntakeConnection(Protocol):
    """A connection that may be cut."""

    claim: MemoryClaim

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""


def ignore_cut(reason: str) -> None:
    """Count no cut."""


def unbounded() -> IntakeBounds:
    """Return the bounds of a process without limits."""
    return IntakeBounds(MemoryAccount(), NO_LIMITS, NO_LIMITS)


@dataclass(eq=False)
class CallerIntake:
    """Memory account, limits and turns of parsing of all connections.

    Parameters
    ----------
    bounds
        Bounds on what callers may make the process hold.
    on_cut
        Called with the reason for each connection that is cut.
    """

    bounds: IntakeBounds = field(default_factory=unbounded)
    on_cut: Callable[[str], None] = ignore_cut
    parsing_queue: ParsingQueue = field(default_factory=ParsingQueue)
    connections: set[IntakeConnection] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Cut connections while the account is full."""
        self.account.make_room = self.make_room

    @property
    def account(self) -> MemoryAccount:
        """Account of the memory of the process."""
        return self.bounds.account

    def make_room(self) -> bool:
        """Cut the caller with the least progress for what it holds.

        Returns
        -------
        bool
            Whether there was one.
        """
        return cut_for_memory({each.claim: each for each in self.connections})


def make_intake(
    machine: MachineSettings, on_cut: Callable[[str], None]
) -> CallerIntake:
    """Return the intake of a process within the limits of its machine.

    Parameters
    ----------
    machine
        Limits of the settings; 0 for what the machine has.
    on_cut
        Called with the reason for each connection that is cut.
    """
    configured = MachineLimits(machine.memory_mb, machine.max_descriptors)
    return CallerIntake(
        derive_bounds(configured, read_machine_limits()), on_cut
    )
