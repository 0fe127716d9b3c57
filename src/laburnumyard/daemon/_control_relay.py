"""Forwards operators' orders and crash suspects between daemons."""

from collections.abc import Callable
from functools import singledispatch, singledispatchmethod

import anyio

from laburnumyard.clocks import MILLISECONDS_PER_SECOND, boot_time
from laburnumyard.core import ownership, requests
from laburnumyard.core.ids import (
    DaemonName,
    KeyHash,
    Seconds,
    ServiceName,
    TargetName,
)
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._ownership import OwnershipRunner
from laburnumyard.schema._generated import messages
from laburnumyard.wire import LinkPool


class ControlRelay:
    """Forwards orders to lease managers, and suspects to every daemon.

    Parameters
    ----------
    view
        Provides the heads and the members.
    ownership_runner
        Runs the lease managers of this daemon.
    quarantine
        The suspects known to this daemon.
    pool
        The links to the other daemons.
    """

    def __init__(
        self,
        view: ClusterView,
        ownership_runner: OwnershipRunner,
        quarantine: requests.Quarantine,
        pool: LinkPool,
    ) -> None:
        """Initialise; nothing is sent yet."""
        self.view = view
        self.ownership = ownership_runner
        self.quarantine = quarantine
        self.pool = pool

    def move(
        self,
        service: ServiceName,
        key_hash: KeyHash,
        target: TargetName,
    ) -> bool:
        """Order a move of a key's range to a target.

        Returns
        -------
        bool
            Whether the lease manager of the range's owner was reached.
        """
        owned = self.view.tables[service].range_of(key_hash)
        if owned is None:
            return False
        part = ownership.hash_range(owned)
        return self.forward_proposal(
            service, ownership.MoveRequested(part, target)
        )

    def forward_proposal(
        self,
        service: ServiceName,
        proposal: ownership.MoveRequested | ownership.MergeRequested,
    ) -> bool:
        """Forward a proposal to the lease manager of the ranges' owner.

        Returns
        -------
        bool
            Whether the manager was reached.
        """
        message = _encode_proposal(proposal, service)
        owned = self.view.tables[service].range_of(KeyHash(message.start))
        if owned is None:
            return False
        manager = self._manager_of(service, TargetName(owned.target))
        if manager == self.view.name:
            self.apply_order(message)
            return True
        peer = self.view.peer(manager) if manager else None
        return peer is not None and self.pool.send(peer, message).is_ok()

    @singledispatchmethod
    def apply_order(
        self, order: messages.MoveRange | messages.MergeRanges
    ) -> None:
        """Pass an order about ranges to the lease managers."""
        raise TypeError(f'no handler for order {order!r}; register one')

    @apply_order.register
    def _apply_move(self, order: messages.MoveRange) -> None:
        part = HashRange(order.start, order.last + 1)
        proposal = ownership.MoveRequested(part, TargetName(order.target))
        self.ownership.feed_service(ServiceName(order.service), proposal)

    @apply_order.register
    def _apply_merge(self, order: messages.MergeRanges) -> None:
        span = HashRange(order.start, order.last + 1)
        proposal = ownership.MergeRequested(span)
        self.ownership.feed_service(ServiceName(order.service), proposal)

    def drain(self, target: TargetName, *, draining: bool) -> None:
        """Order every daemon to drain a target, or to use it again."""
        order = messages.DrainTarget(target, draining)
        self.apply_drain(order)
        self._broadcast(order)

    def apply_drain(self, order: messages.DrainTarget) -> None:
        """Apply an order to drain a target or to use it again."""
        self.ownership.drain(TargetName(order.target), order.draining)

    def broadcast_suspects(
        self, suspects: tuple[requests.Suspect, ...]
    ) -> None:
        """Send requests that may have crashed a target to every daemon."""
        self._broadcast(
            messages.Suspects(tuple(map(_encode_suspect, suspects)))
        )

    def merge_suspects(self, news: messages.Suspects) -> None:
        """Merge suspects received from another daemon."""
        suspects = tuple(map(_decode_suspect, news.suspects))
        self.quarantine.merge(suspects, boot_time())

    def _manager_of(
        self,
        service: ServiceName,
        target: TargetName,
    ) -> DaemonName | None:
        head = self.view.snapshots[service].head
        scope = head.scopes.get(head.homes.get(target))
        return scope.manager if scope else None

    def _broadcast(self, message: messages.Message) -> None:
        for member in self.view.members.live():
            peer = self.view.peer(member.daemon)
            if peer is not None:
                self.pool.send(peer, message)


async def wait_until(
    condition: Callable[[], bool],
    timeout_s: float,
    interval_s: float,
) -> bool:
    """Poll a condition; return whether it held before the timeout."""
    with anyio.move_on_after(timeout_s):
        # Many kinds of events change the state, so there is none to wait for.
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(interval_s)
    return condition()


@singledispatch
def _encode_proposal(
    proposal: ownership.MoveRequested | ownership.MergeRequested,
    service: ServiceName,
) -> messages.MoveRange | messages.MergeRanges:
    raise TypeError(f'no message for proposal {proposal!r}; register one')


@_encode_proposal.register
def _encode_move(
    proposal: ownership.MoveRequested,
    service: ServiceName,
) -> messages.MoveRange:
    last = proposal.part.stop - 1
    return messages.MoveRange(service, proposal.part.start, last, proposal.to)


@_encode_proposal.register
def _encode_merge(
    proposal: ownership.MergeRequested,
    service: ServiceName,
) -> messages.MergeRanges:
    return messages.MergeRanges(
        service, proposal.span.start, proposal.span.stop - 1
    )


def _encode_suspect(suspect: requests.Suspect) -> messages.SuspectRequest:
    return messages.SuspectRequest(
        fingerprint=suspect.fingerprint,
        deaths=tuple(map(messages.Death, sorted(suspect.deaths))),
        remaining_ms=int(suspect.remaining * MILLISECONDS_PER_SECOND),
    )


def _decode_suspect(news: messages.SuspectRequest) -> requests.Suspect:
    return requests.Suspect(
        requests.Fingerprint(news.fingerprint),
        frozenset(requests.DeathId(death.name) for death in news.deaths),
        Seconds(news.remaining_ms / MILLISECONDS_PER_SECOND),
    )
