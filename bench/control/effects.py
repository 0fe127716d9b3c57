"""Runs the effects of a daemon in virtual time."""

from functools import partial, singledispatch
from typing import Any

from laburnumyard.core import dissemination, membership
from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages

PROBE_TIMEOUT_S = 0.3
VM_LIST_S = 0.005


@singledispatch
def perform(effect: Any, node: Any) -> None:
    """Run one effect of a node."""
    raise TypeError(f'no effect of control: {effect!r}')


@perform.register
def _(effect: membership.SendHeartbeat, node: Any) -> None:
    send(node, effect.daemon, effect.heartbeat)


@perform.register
def _(effect: membership.Send, node: Any) -> None:
    send(node, effect.daemon, effect.message)


@perform.register
def _(effect: dissemination.Send, node: Any) -> None:
    send(node, effect.daemon, effect.message)


def send(node: Any, daemon: DaemonName, message: messages.Message) -> None:
    """Send a message; it may be lost."""
    fleet = node.fleet
    network = fleet.network
    network.note(node.identity.daemon, daemon, message)
    receiver = fleet.nodes.get(daemon)
    if receiver is None:
        return
    if network.passes(node.identity, receiver.identity):
        fleet.clock.call_in(
            network.delay(node.identity, receiver.identity),
            partial(receiver.receive, node.identity, message),
        )


@perform.register
def _(effect: membership.Probe, node: Any) -> None:
    Ping(node, effect.daemon).start()


class Ping:
    """One probe of another daemon.

    Parameters
    ----------
    node
        Who probes.
    daemon
        Who is probed.
    """

    def __init__(self, node: Any, daemon: DaemonName) -> None:
        """Prepare; nothing is sent yet."""
        self.node = node
        self.fleet = node.fleet
        self.daemon = daemon
        self.is_settled = False

    def start(self) -> None:
        """Send the ping, and give up after a while."""
        network = self.fleet.network
        probe = messages.Ping(number=1)
        network.note(self.node.identity.daemon, self.daemon, probe)
        failed = membership.ProbeFailed(self.daemon)
        self.fleet.clock.call_in(
            PROBE_TIMEOUT_S,
            partial(self.settle, failed),
        )
        probed = self.fleet.nodes.get(self.daemon)
        if probed and network.passes(self.node.identity, probed.identity):
            delay = network.delay(self.node.identity, probed.identity)
            self.fleet.clock.call_in(delay, partial(self.arrive, probed))

    def arrive(self, probed: Any) -> None:
        """Have the other daemon answer, or its VM refuse."""
        if not probed.admits(self.node.identity):
            return
        if probed.is_running:
            probed.wake_or_wait(partial(self.answer, probed))
        elif self.daemon not in self.fleet.platform.lost:
            self.settle(membership.ProbeFailed(self.daemon))

    def answer(self, probed: Any) -> None:
        """Send the answer back."""
        network = self.fleet.network
        pong = messages.Pong(number=1)
        network.note(self.daemon, self.node.identity.daemon, pong)
        if network.passes(probed.identity, self.node.identity):
            heard = membership.ProbeAnswered(
                self.daemon,
                probed.identity.incarnation,
            )
            delay = network.delay(probed.identity, self.node.identity)
            self.fleet.clock.call_in(delay, partial(self.settle, heard))

    def settle(self, outcome: membership.Event) -> None:
        """Tell the daemon the outcome, once."""
        if not self.is_settled:
            self.is_settled = True
            self.node.wake_or_wait(partial(self.node.table_take, outcome))


@perform.register
def _(effect: membership.ReadVmList, node: Any) -> None:
    fleet = node.fleet
    if not fleet.platform.is_reachable:
        node.table_take(membership.VmListUnavailable())
        return
    vms = tuple(
        membership.ListedVm(one, is_leaving=False)
        for one in fleet.platform.listed.values()
    )
    read = membership.VmListRead(vms)
    take = partial(node.wake_or_wait, partial(node.table_take, read))
    fleet.clock.call_in(VM_LIST_S, take)


@perform.register
def _(effect: membership.LogDecision, node: Any) -> None:
    fleet = node.fleet
    fleet.observer.decisions.append(
        (fleet.clock.now, node.identity.daemon, effect)
    )


@perform.register
def _(effect: dissemination.LogRejected, node: Any) -> None:
    fleet = node.fleet
    fleet.observer.decisions.append(
        (fleet.clock.now, node.identity.daemon, effect)
    )


@perform.register
def _(effect: dissemination.Adopt, node: Any) -> None:
    node.fleet.note_adoption(node, effect)


@perform.register
def _(effect: dissemination.ReadStore, node: Any) -> None:
    take = partial(_take_answer, node)
    node.fleet.store_for(node).read(effect, take)


@perform.register
def _(effect: dissemination.ReadChunks, node: Any) -> None:
    take = partial(_take_answer, node)
    node.fleet.store_for(node).read_chunks(effect, take)


def _take_answer(node: Any, answer: Any) -> None:
    node.wake_or_wait(partial(node.documents_take, answer))
