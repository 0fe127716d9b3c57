"""Feeds events to the member table and executes its effects."""

from collections.abc import Callable
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup

from laburnumyard.clients import Vm, VmList, VmState
from laburnumyard.clocks import boot_time
from laburnumyard.core import membership
from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.schema._generated.messages import (
    Gossip,
    Heartbeat,
    Hello,
    Member,
    MemberDigests,
    Members,
    Ping,
)
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import LinkPool

TICK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.4


class MembershipRunner:
    """Feeds the member table and executes its effects.

    Parameters
    ----------
    view
        Holds the member table.
    pool
        The links to the other daemons.
    vm_list
        Reads the platform's VM list.
    tasks
        Task group for probes and reads of the VM list.
    on_change
        Called after a member's state has changed.
    on_vm_list
        Called with the VM list after each read.
    """

    def __init__(
        self,
        view: ClusterView,
        pool: LinkPool,
        vm_list: VmList,
        tasks: TaskGroup,
        on_change: Callable[[], None],
        on_vm_list: Callable[[tuple[Vm, ...]], None],
    ) -> None:
        """Initialise with no known member."""
        self.view = view
        self.table = view.members
        self.pool = pool
        self.vm_list = vm_list
        self.tasks = tasks
        self.on_change = on_change
        self.on_vm_list = on_vm_list
        self.directory_version = -1
        self.superseded = anyio.Event()

    async def run(self) -> None:
        """Send periodic ticks to the table until cancelled."""
        while True:
            self.feed(membership.Tick())
            await anyio.sleep(TICK_INTERVAL_S)

    def feed(self, event: membership.Event) -> None:
        """Pass an event to the table and execute its effects."""
        for effect in self.table.handle(event, boot_time()):
            self.carry_out(effect)
        if self.table.state.is_superseded:
            self.superseded.set()
        if self.table.directory.version != self.directory_version:
            self.directory_version = self.table.directory.version
            self.on_change()

    def on_hello(self, hello: Hello) -> bool:
        """Record the sender of a hello; every daemon may connect."""
        member = Member(
            daemon=hello.daemon,
            incarnation=hello.incarnation,
            data_centre=hello.data_centre,
            region=hello.region,
            peer_address=hello.peer_address,
            leaving=False,
            suspected=False,
            refutation=0,
        )
        self.feed(membership.HelloReceived(member))
        return True

    @singledispatchmethod
    def carry_out(self, effect: membership.Effect) -> None:
        """Execute one effect of the table."""
        raise TypeError(f'no handler for effect {effect!r}; register one')

    @carry_out.register
    def _heartbeat(self, effect: membership.SendHeartbeat) -> None:
        self._send(effect.daemon, effect.heartbeat)

    @carry_out.register
    def _message(self, effect: membership.Send) -> None:
        self._send(effect.daemon, effect.message)

    @carry_out.register
    def _probe(self, effect: membership.Probe) -> None:
        self.tasks.start_soon(self._ping, effect.daemon)

    @carry_out.register
    def _read_list(self, effect: membership.ReadVmList) -> None:
        self.tasks.start_soon(self._read_vms)

    @carry_out.register
    def _log(self, effect: membership.LogDecision) -> None:
        log_event(
            Event.MEMBER,
            daemon=effect.daemon,
            state=effect.state,
            incarnation=effect.incarnation,
            reason=effect.decision,
        )

    def _send(
        self,
        daemon: DaemonName,
        message: Heartbeat | Gossip | MemberDigests | Members,
    ) -> None:
        peer = self.view.peer(daemon)
        if peer is not None:
            self.pool.send(peer, message)

    async def _ping(self, daemon: DaemonName) -> None:
        peer = self.view.peer(daemon)
        if peer is None:
            return
        answer = await self.pool.request(peer, Ping(0), PROBE_TIMEOUT_S)
        incarnation = self.pool.incarnation_of(daemon)
        if answer.is_ok() and incarnation is not None:
            event = membership.ProbeAnswered(daemon, Incarnation(incarnation))
            self.feed(event)
        else:
            self.feed(membership.ProbeFailed(daemon))

    async def _read_vms(self) -> None:
        found = await self.vm_list.read()
        if found.is_ok():
            listed = tuple(
                _to_listed_vm(vm) for vm in found.ok if vm.peer_address
            )
            self.feed(membership.VmListRead(listed, len(found.ok)))
            self.on_vm_list(found.ok)
        else:
            self.feed(membership.VmListUnavailable())


def _to_listed_vm(vm: Vm) -> membership.ListedVm:
    identity = membership.Identity(
        vm.name, vm.data_centre, vm.region, vm.peer_address
    )
    return membership.ListedVm(identity, vm.state is VmState.LEAVING)
