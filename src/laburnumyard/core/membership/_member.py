"""One member, and which news of it wins."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import DaemonName, DataCentre, Incarnation, Region
from laburnumyard.schema._generated import messages

# The incarnation of a member that nobody has heard yet.
UNHEARD = Incarnation(0)


class MemberState(Enum):
    """What this daemon believes of a member."""

    LIVE = 'live'
    SUSPECTED = 'suspected'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a daemon is and where.

    Parameters
    ----------
    daemon
        The name of the daemon and of its VM.
    data_centre
        Its data centre.
    region
        The region of the data centre.
    address
        The IP number and the port of its links.
    incarnation
        Drawn at the start of the process; a higher one is newer.
    """

    daemon: DaemonName
    data_centre: DataCentre
    region: Region
    address: str
    incarnation: Incarnation = UNHEARD


@dataclass(slots=True, eq=False)
class Member:
    """What this daemon knows of another one.

    Parameters
    ----------
    identity
        Who it is.
    state
        What this daemon believes.
    refutation
        How often the incarnation has refuted a suspicion.
    is_leaving
        Whether the incarnation has said that it leaves.
    is_rumoured
        Whether others suspect it at the present refutation.
    is_listed
        Whether it is on the VM list.
    listed_leaving
        The incarnation that the VM list has called leaving, or None.
    heard_at
        When it was last heard directly, in seconds, or None.
    silent_since
        Since when this daemon itself fails to reach it, or None.
    changed_at
        When the state changed, in seconds.
    rumour_at
        Before when this daemon starts no rumour of it again, in seconds.
    rumour_pause_s
        The pause after the next such rumour, in seconds.
    probe_at
        When a suspected or doubtful member may be probed again, in seconds.
    probe_pause_s
        The pause before the probe after that, in seconds.
    """

    identity: Identity
    state: MemberState
    changed_at: float
    refutation: int = 0
    is_leaving: bool = False
    is_rumoured: bool = False
    is_listed: bool = False
    listed_leaving: Incarnation | None = None
    heard_at: float | None = None
    silent_since: float | None = None
    rumour_at: float = 0
    rumour_pause_s: float = 0
    probe_at: float = 0
    probe_pause_s: float = 0

    def restart(self, identity: Identity) -> None:
        """Begin anew with a newer incarnation."""
        self.identity = identity
        self.refutation = 0
        self.is_leaving = False
        self.is_rumoured = False
        self.silent_since = None

    @property
    def is_expected(self) -> bool:
        """Whether it was listed, and nobody has tried to reach it yet."""
        is_unheard = self.identity.incarnation == UNHEARD
        return is_unheard and self.silent_since is None

    def belief(self) -> MemberState:
        """Return the state that follows from what is known."""
        if self.is_leaving:
            return MemberState.LEAVING
        is_unheard = self.identity.incarnation == UNHEARD
        if is_unheard or self.is_rumoured or self.silent_since is not None:
            return MemberState.SUSPECTED
        return MemberState.LIVE


def news_about(member: Member) -> messages.Member:
    """Return the news of a member for another daemon."""
    return messages.Member(
        daemon=member.identity.daemon,
        incarnation=member.identity.incarnation,
        data_centre=member.identity.data_centre,
        region=member.identity.region,
        peer_address=member.identity.address,
        leaving=member.is_leaving,
        suspected=member.is_rumoured,
        refutation=member.refutation,
    )


def identity_in(news: messages.Member) -> Identity:
    """Return who a piece of news is about."""
    return Identity(
        DaemonName(news.daemon),
        DataCentre(news.data_centre),
        Region(news.region),
        news.peer_address,
        Incarnation(news.incarnation),
    )


def merge(member: Member, news: messages.Member) -> bool:
    """Take news of a member that is known already.

    Parameters
    ----------
    member
        The member; it is changed.
    news
        What another daemon says of it.

    Returns
    -------
    bool
        Whether the news was new. Of two pieces of news the one with the higher
        incarnation wins, then the one that says that the member leaves, then
        the one with the higher refutation, then the suspicion.
    """
    known = member.identity.incarnation
    if news.incarnation < known:
        return False
    if news.incarnation > known:
        member.restart(identity_in(news))
        take_beliefs(member, news)
        return True
    if news.peer_address != member.identity.address:
        member.identity = identity_in(news)
    if member.is_leaving:
        return False
    if news.leaving or news.refutation > member.refutation:
        take_beliefs(member, news)
        return True
    is_new = news.suspected and not member.is_rumoured
    if is_new and news.refutation == member.refutation:
        member.is_rumoured = True
        return True
    return False


def take_beliefs(member: Member, news: messages.Member) -> None:
    """Believe of a member what the news says, against own older evidence."""
    member.silent_since = None
    member.is_leaving = news.leaving
    member.refutation = news.refutation
    member.is_rumoured = news.suspected
