"""Builds the components of one daemon and connects them."""

from anyio.abc import TaskGroup

from laburnumyard.clients import StoreClient, VmList
from laburnumyard.clocks import (
    boot_time,
    random_fraction,
)
from laburnumyard.core import membership, requests
from laburnumyard.core.ids import DaemonName, ServiceName
from laburnumyard.core.ownership import Snapshot
from laburnumyard.daemon._caller_app import CallerApp
from laburnumyard.daemon._caller_service import CallerService
from laburnumyard.daemon._cluster_view import make_cluster_view
from laburnumyard.daemon._control_relay import ControlRelay
from laburnumyard.daemon._crash_detection import CrashDetector
from laburnumyard.daemon._documents import DocumentsRunner
from laburnumyard.daemon._forwarding import ForwardedJobReceiver, JobForwarder
from laburnumyard.daemon._guards import Guards
from laburnumyard.daemon._load_meter import LoadMeter
from laburnumyard.daemon._membership import MembershipRunner
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.daemon._ownership import OwnershipRunner
from laburnumyard.daemon._peer_messages import PeerMessageHandler
from laburnumyard.daemon._rebalancing import Rebalancer
from laburnumyard.daemon._router import Router
from laburnumyard.daemon._targets import Targets
from laburnumyard.daemon._tickets import TicketService
from laburnumyard.schema._generated.messages import Hello
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.wire import LinkPool, LinkServer, LinkSettings


class Daemon:
    """The components of one daemon.

    Parameters
    ----------
    settings
        The daemon's settings.
    tasks
        Task group of the components.
    """

    def __init__(self, settings: Settings, tasks: TaskGroup) -> None:
        """Build the components; nothing listens or sends yet."""
        self.settings = settings
        self.tasks = tasks
        self.metrics = Metrics()
        self.view = make_cluster_view(settings)
        self.build_links()
        self.build_requests()
        self.build_control()
        self.relay = ControlRelay(
            self.view, self.ownership, self.quarantine, self.pool
        )
        self.balance = Rebalancer(
            self.view, self.meter, self.ownership, self.relay, self.pool
        )
        self.peer_messages = PeerMessageHandler(
            self.members,
            self.documents,
            self.ownership,
            self.guards,
            ForwardedJobReceiver(
                self.targets.run_here, self.ticket_service.submit_here
            ),
            self.relay,
            self.balance,
        )

    def build_links(self) -> None:
        """Build the links to other daemons and the store client."""
        settings = self.settings
        hello = Hello(
            settings.daemon.name,
            self.view.incarnation,
            settings.daemon.data_centre,
            settings.daemon.region,
            settings.listen.peers,
        )
        links = LinkSettings(body_bytes=settings.limits.body_bytes)
        self.pool = LinkPool(hello, links, random_fraction)
        self.pool.on_lost.append(self.on_peer_lost)
        self.server = LinkServer(
            settings.listen.peers,
            hello,
            lambda link, message: self.peer_messages.handle(link, message),
            lambda hello: self.members.on_hello(hello),
            links,
        )
        self.store = StoreClient(settings.store, boot_time, random_fraction)

    def build_requests(self) -> None:
        """Build the components that serve requests."""
        quarantine = requests.Quarantine()
        deaths = CrashDetector(
            self.view.name,
            quarantine,
            lambda suspects: self.relay.broadcast_suspects(suspects),
            self.tasks,
        )
        self.quarantine = quarantine
        sender = JobForwarder(self.view, self.pool)
        self.guards = Guards(self.view)
        self.meter = LoadMeter()
        self.targets = Targets(self.view, self.guards, deaths, self.meter)
        self.router = Router(
            self.view,
            self.targets.run_here,
            sender.run_at_peer,
            quarantine,
            self.metrics,
            self.on_peer_lost,
        )
        ledger = requests.TicketLedger(
            self.view.name, self.view.incarnation, self.settings.limits
        )
        self.ticket_service = TicketService(
            ledger, self.router.route, sender.submit_at_issuer, self.tasks
        )
        service = CallerService(
            self.view, self.router.route, self.ticket_service.submit
        )
        self.caller_app = CallerApp(
            self.settings,
            service.serve,
            self.ticket_service.issue,
            self.metrics,
        )

    def build_control(self) -> None:
        """Build the membership, dissemination and ownership components."""
        self.documents = DocumentsRunner(
            self.view,
            self.store,
            self.pool,
            self.tasks,
            self.apply_configuration,
            self.apply_new_snapshot,
        )
        self.ownership = OwnershipRunner(
            self.view,
            self.store,
            self.guards,
            self.pool,
            self.tasks,
            self.documents.publish,
        )
        self.members = MembershipRunner(
            self.view,
            self.pool,
            VmList(self.store),
            self.tasks,
            self.apply_members,
            self.ownership.leaving_targets.record_vms,
        )

    def apply_members(self) -> None:
        """Apply a change of the live members."""
        self.documents.update_peers()
        if self.view.configuration is not None:
            self.ownership.take_over_scopes()
            self.report_managed_scopes()

    def on_peer_lost(self, daemon: DaemonName) -> None:
        """Report a lost link to another daemon to the membership."""
        self.members.feed(membership.LinkLost(daemon))

    def apply_configuration(self) -> None:
        """Apply a new configuration."""
        self.targets.reconfigure(self.view.configuration)
        self.ownership.reconfigure()

    def apply_new_snapshot(
        self, service: ServiceName, snapshot: Snapshot
    ) -> None:
        """Apply a new assignment."""
        self.targets.release_moved(service, self.view.tables[service])
        self.ownership.apply_snapshot(service, snapshot)
        self.report_managed_scopes()

    def report_managed_scopes(self) -> None:
        """Report the managed scopes so that deputies watch this daemon."""
        self.members.feed(
            membership.ManagedScopesChanged(self.ownership.managed_scopes())
        )

    @property
    def is_ready(self) -> bool:
        """Whether members are known and every service can be routed."""
        configuration = self.view.configuration
        if configuration is None or self.view.is_leaving:
            return False
        if not self.view.knows_members:
            return False
        return set(configuration.services) <= set(self.view.tables)
