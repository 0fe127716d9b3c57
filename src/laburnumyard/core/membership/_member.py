"""A member, and the precedence of records about it."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import DaemonName, DataCentre, Incarnation, Region
from laburnumyard.schema._generated import messages

# Incarnation of a listed member before any contact.
UNKNOWN_INCARNATION = Incarnation(0)


class MemberState(Enum):
    """State of a member as seen by this daemon."""

    LIVE = 'live'
    SUSPECTED = 'suspected'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, location and address of a daemon.

    Parameters
    ----------
    daemon
        The name of the daemon and of its VM.
    data_centre
        Its data centre.
    region
        The region of the data centre.
    address
        The IP address and port of its links.
    incarnation
        Chosen at process start; a higher one is newer.
    """

    daemon: DaemonName
    data_centre: DataCentre
    region: Region
    address: str
    incarnation: Incarnation = UNKNOWN_INCARNATION


@dataclass(slots=True, eq=False)
class Member:
    """State that this daemon keeps about another daemon.

    Parameters
    ----------
    identity
        Its name, location, address and incarnation.
    state
        Its state as seen by this daemon.
    refutation
        Number of suspicions that the incarnation has refuted.
    is_leaving
        Whether the departure of the incarnation was announced or listed.
    is_gossiped_suspect
        Whether gossip suspects it at its current refutation number.
    is_listed
        Whether it is on the VM list.
    listed_leaving
        The incarnation that the VM list has marked leaving, or None.
    heard_at
        Time of the last direct contact, in seconds, or None.
    unreachable_since
        Since when this daemon cannot reach it, in seconds, or None.
    changed_at
        Time of the last state change, in seconds.
    next_suspicion_at
        Earliest time at which this daemon gossips a suspicion again, in
        seconds.
    suspicion_pause_s
        The pause after the next gossiped suspicion, in seconds.
    next_probe_at
        Earliest time of the next probe of a suspected member, in seconds.
    probe_pause_s
        The pause before the probe after that, in seconds.
    """

    identity: Identity
    state: MemberState
    changed_at: float
    refutation: int = 0
    is_leaving: bool = False
    is_gossiped_suspect: bool = False
    is_listed: bool = False
    listed_leaving: Incarnation | None = None
    heard_at: float | None = None
    unreachable_since: float | None = None
    next_suspicion_at: float = 0
    suspicion_pause_s: float = 0
    next_probe_at: float = 0
    probe_pause_s: float = 0

    def restart(self, identity: Identity) -> None:
        """Reset the state for a newer incarnation."""
        self.identity = identity
        self.refutation = 0
        self.is_leaving = False
        self.is_gossiped_suspect = False
        self.unreachable_since = None

    @property
    def is_expected(self) -> bool:
        """Whether it was never contacted and no contact has failed."""
        is_unknown = self.identity.incarnation == UNKNOWN_INCARNATION
        return is_unknown and self.unreachable_since is None

    def derived_state(self) -> MemberState:
        """Return the state that follows from the recorded evidence."""
        if self.is_leaving:
            return MemberState.LEAVING
        is_unknown = self.identity.incarnation == UNKNOWN_INCARNATION
        if (
            is_unknown
            or self.is_gossiped_suspect
            or self.unreachable_since is not None
        ):
            return MemberState.SUSPECTED
        return MemberState.LIVE


def record_of(member: Member) -> messages.Member:
    """Return the record of a member as sent to peers."""
    return messages.Member(
        daemon=member.identity.daemon,
        incarnation=member.identity.incarnation,
        data_centre=member.identity.data_centre,
        region=member.identity.region,
        peer_address=member.identity.address,
        leaving=member.is_leaving,
        suspected=member.is_gossiped_suspect,
        refutation=member.refutation,
    )


def identity_from_record(record: messages.Member) -> Identity:
    """Return the identity in a member record."""
    return Identity(
        DaemonName(record.daemon),
        DataCentre(record.data_centre),
        Region(record.region),
        record.peer_address,
        Incarnation(record.incarnation),
    )


def merge_record(member: Member, record: messages.Member) -> bool:
    """Merge a received record into a known member.

    The record with the higher incarnation takes precedence, then the one that
    says leaving, then the one with the higher refutation number, then the one
    with the suspicion.

    Parameters
    ----------
    member
        The member, modified in place.
    record
        The record received from another daemon.

    Returns
    -------
    bool
        Whether the record changed the member's leaving or suspicion status.
    """
    known_incarnation = member.identity.incarnation
    if record.incarnation < known_incarnation:
        return False
    if record.incarnation > known_incarnation:
        member.restart(identity_from_record(record))
        adopt_record(member, record)
        return True
    if record.peer_address != member.identity.address:
        member.identity = identity_from_record(record)
    if member.is_leaving:
        return False
    if record.leaving or record.refutation > member.refutation:
        adopt_record(member, record)
        return True
    is_new = record.suspected and not member.is_gossiped_suspect
    if is_new and record.refutation == member.refutation:
        member.is_gossiped_suspect = True
        return True
    return False


def adopt_record(member: Member, record: messages.Member) -> None:
    """Overwrite the status of a member, including own failed contacts."""
    member.unreachable_since = None
    member.is_leaving = record.leaving
    member.refutation = record.refutation
    member.is_gossiped_suspect = record.suspected
