"""Routes messages of other daemons to their handlers."""

from collections.abc import Awaitable
from dataclasses import dataclass
from functools import singledispatchmethod

from laburnumyard.core import dissemination, membership
from laburnumyard.core.ids import DaemonName
from laburnumyard.daemon._control_relay import ControlRelay
from laburnumyard.daemon._documents import DocumentsRunner
from laburnumyard.daemon._forwarding import ForwardedJobReceiver
from laburnumyard.daemon._guards import Guards
from laburnumyard.daemon._membership import MembershipRunner
from laburnumyard.daemon._ownership import OwnershipRunner
from laburnumyard.daemon._rebalancing import Rebalancer
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import IncomingLink


@dataclass(slots=True)
class PeerMessageHandler:
    """Handles every message received on a link.

    Parameters
    ----------
    members, documents, ownership
        The state machines of this daemon.
    guards
        The grants that this daemon guards.
    forwarded_jobs
        Runs requests that other daemons forward.
    relay
        Applies operators' orders and merges suspects.
    balance
        Receives load reports of dispatchers.
    """

    members: MembershipRunner
    documents: DocumentsRunner
    ownership: OwnershipRunner
    guards: Guards
    forwarded_jobs: ForwardedJobReceiver
    relay: ControlRelay
    balance: Rebalancer

    def handle(
        self,
        link: IncomingLink,
        message: messages.Message,
    ) -> Awaitable[None] | None:
        """Handle one message; return the remaining work, if any."""
        return ROUTES.dispatch(type(message))(self, message, link)

    @singledispatchmethod
    def route(
        self,
        message: messages.Message,
        link: IncomingLink,
    ) -> Awaitable[None] | None:
        """Log a message that has no handler."""
        log_event(
            Event.FAULT,
            'WARNING',
            peer=link.remote.daemon,
            unexpected=type(message).__name__,
        )

    @route.register
    def _submit(
        self,
        message: messages.Submit,
        link: IncomingLink,
    ) -> Awaitable[None]:
        return self.forwarded_jobs.run(link, message)

    @route.register
    def _cancel(self, message: messages.Cancel, link: IncomingLink) -> None:
        self.forwarded_jobs.cancel(link, message)

    @route.register
    def _heartbeat(
        self,
        message: messages.Heartbeat,
        link: IncomingLink,
    ) -> None:
        self.members.feed(membership.HeartbeatReceived(message))
        sender = DaemonName(link.remote.daemon)
        digest = dissemination.DigestReceived(sender, message.documents)
        self.documents.feed(digest)

    @route.register
    def _gossip(self, message: messages.Gossip, link: IncomingLink) -> None:
        self.members.feed(membership.GossipReceived(message.members))

    @route.register
    def _members(self, message: messages.Members, link: IncomingLink) -> None:
        self.members.feed(membership.MembersReceived(message.members))

    @route.register
    def _digests(
        self,
        message: messages.MemberDigests,
        link: IncomingLink,
    ) -> None:
        sender = DaemonName(link.remote.daemon)
        self.members.feed(membership.DigestsReceived(sender, message))

    @route.register
    def _versions(
        self,
        message: messages.Versions,
        link: IncomingLink,
    ) -> None:
        sender = DaemonName(link.remote.daemon)
        self.documents.feed(dissemination.VersionsReceived(sender, message))

    @route.register
    def _fetch(
        self,
        message: messages.FetchDocument,
        link: IncomingLink,
    ) -> None:
        sender = DaemonName(link.remote.daemon)
        self.documents.feed(dissemination.FetchReceived(sender, message))

    @route.register
    def _part(
        self,
        message: messages.DocumentPart,
        link: IncomingLink,
    ) -> None:
        sender = DaemonName(link.remote.daemon)
        self.documents.feed(dissemination.PartReceived(sender, message))

    @route.register
    def _hand_over(
        self,
        message: messages.HandOver,
        link: IncomingLink,
    ) -> None:
        self.ownership.take_over(message)

    @route.register(messages.MoveRange)
    @route.register(messages.MergeRanges)
    def _ranges(
        self,
        message: messages.MoveRange | messages.MergeRanges,
        link: IncomingLink,
    ) -> None:
        self.relay.apply_order(message)

    @route.register
    def _load(self, message: messages.LoadReport, link: IncomingLink) -> None:
        self.balance.record_report(message)

    @route.register
    def _drain(
        self,
        message: messages.DrainTarget,
        link: IncomingLink,
    ) -> None:
        self.relay.apply_drain(message)

    @route.register
    def _suspects(
        self,
        message: messages.Suspects,
        link: IncomingLink,
    ) -> None:
        self.relay.merge_suspects(message)

    @route.register(messages.GuardSeal)
    @route.register(messages.GuardGrant)
    def _guard(
        self,
        message: messages.GuardSeal | messages.GuardGrant,
        link: IncomingLink,
    ) -> None:
        link.send(self.guards.answer(message))


# Avoids the new function that singledispatchmethod creates on each access.
ROUTES = PeerMessageHandler.__dict__['route'].dispatcher
