"""Chooses the connections that make room for others."""

from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

from laburnumyard.clocks import boot_time
from laburnumyard.core.memory_account import MemoryClaim, choose_cut

# A connection that has done nothing for this long may be closed for another.
MIN_IDLE_S = 1.0
ANY_ADDRESS = ''


class CallerLink(Protocol):
    """Connection of a caller.

    Attributes
    ----------
    address
        IP address of the caller.
    active_at
        When it last received or sent anything (``boot_time``), in seconds.
    """

    address: str
    active_at: float

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""


Link = TypeVar('Link', bound=CallerLink)


def cut_for_memory(by_claim: Mapping[MemoryClaim, CallerLink]) -> bool:
    """Cut the caller with the least progress for the memory it holds.

    Parameters
    ----------
    by_claim
        Connections by what each holds.

    Returns
    -------
    bool
        Whether there was one.
    """
    chosen = choose_cut(by_claim, boot_time())
    if chosen is None:
        return False
    by_claim[chosen].cut('memory')
    return True


def longest_idle(idle: Iterable[Link], address: str) -> Link | None:
    """Return the connection that has done nothing for longest.

    Parameters
    ----------
    idle
        Connections that wait for no response.
    address
        IP address of its caller; ``ANY_ADDRESS`` for any.

    Returns
    -------
    Link or None
        None if each has done something lately.
    """
    latest = boot_time() - MIN_IDLE_S
    candidates = (
        link
        for link in idle
        if link.active_at <= latest and address in {ANY_ADDRESS, link.address}
    )
    return min(candidates, key=lambda link: link.active_at, default=None)
