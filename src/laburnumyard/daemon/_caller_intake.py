"""What the listeners of a daemon share to stay within the machine's limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from laburnumyard.clocks import boot_time
from laburnumyard.core.memory_account import (
    MemoryAccount,
    MemoryClaim,
    account_of,
    choose_cut,
)
from laburnumyard.intake import (
    ANY_ADDRESS,
    NO_LIMITS,
    ConnectionLimits,
    ParsingQueue,
    choose_limits,
    derive_connection_limits,
    read_machine_limits,
)
from laburnumyard.schema._generated.settings import MachineSettings

# A connection that has done nothing for this long may be closed for another.
MIN_IDLE_S = 1.0


class IntakeConnection(Protocol):
    """A connection that may be cut."""

    claim: MemoryClaim
    address: str
    active_at: float

    @property
    def is_closing(self) -> bool:
        """Whether received bytes are ignored."""

    @property
    def is_read_paused(self) -> bool:
        """Whether a response is due or not sent whole."""

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""


@dataclass(eq=False)
class CallerIntake:
    """Memory account, limits and turns of parsing of all connections.

    Parameters
    ----------
    account
        Account of the memory of the process.
    limits
        Limits on the connections of callers.
    """

    account: MemoryAccount = field(default_factory=MemoryAccount)
    limits: ConnectionLimits = NO_LIMITS
    parsing_queue: ParsingQueue = field(default_factory=ParsingQueue)
    connections: set[IntakeConnection] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Cut connections while the account is full."""
        self.account.make_room = self.make_room

    def make_room(self) -> bool:
        """Cut the caller with the least progress for what it holds.

        Returns
        -------
        bool
            Whether there was one.
        """
        by_claim = {each.claim: each for each in self.connections}
        chosen = choose_cut(by_claim, boot_time())
        if chosen is None:
            return False
        by_claim[chosen].cut('memory')
        return True


def make_intake(machine: MachineSettings) -> CallerIntake:
    """Return the intake of a process within the limits of its machine."""
    limits = choose_limits(
        machine.memory_mb, machine.max_descriptors, read_machine_limits()
    )
    account = account_of(limits.memory_mb)
    return CallerIntake(account, derive_connection_limits(limits, account))


def close_idle(
    connections: Iterable[IntakeConnection], address: str = ANY_ADDRESS
) -> bool:
    """Close the connection that has done nothing for longest.

    Parameters
    ----------
    connections
        Connections of one listener.
    address
        IP address of its caller; empty for any.

    Returns
    -------
    bool
        Whether there was one.
    """
    latest = boot_time() - MIN_IDLE_S
    candidates = [
        connection
        for connection in connections
        if connection.active_at <= latest
        and not connection.is_read_paused
        and not connection.is_closing
        and address in {ANY_ADDRESS, connection.address}
    ]
    if not candidates:
        return False
    min(candidates, key=lambda each: each.active_at).cut('descriptors')
    return True
