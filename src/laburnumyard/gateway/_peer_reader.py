"""Learns from peers what the store would tell, while it is out of reach."""

import random
from collections.abc import Iterable
from operator import attrgetter

import anyio

from laburnumyard.core.ids import DaemonName
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._item_cache import decode_items
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event
from laburnumyard.wire import UNNAMED_PREFIX, LinkPool, Peer

# How often a peer is asked, in seconds: a configuration has to be in force
# two seconds after the operator wrote it.
FETCH_INTERVAL_S = 0.4
FETCH_TIMEOUT_S = 0.4


class PeerReader:
    """Asks one peer after another for the items that it has read.

    Parameters
    ----------
    follower
        Takes the items.
    health
        Whether the store is in reach.
    view
        The peers.
    pool
        Links to them.
    mine
        This gateway.
    addresses
        Peers of whom only the address is known.
    """

    def __init__(
        self,
        watcher: StoreWatcher,
        health: StoreHealth,
        view: ClusterView,
        pool: LinkPool,
        own_member: Member,
        addresses: Iterable[str],
    ) -> None:
        """Start without having asked."""
        self.watcher = watcher
        self.health = health
        self.view = view
        self.pool = pool
        self.own_member = own_member
        self.addresses = tuple(addresses)
        watcher.fetch_from_coordinator = self.fetch_from_coordinator

    async def run(self) -> None:
        """Ask while the store is out of reach, for ever."""
        while True:
            await anyio.sleep(FETCH_INTERVAL_S)
            if not self.health.is_reachable:
                await self.fetch_from_peer()

    async def fetch_from_peer(self) -> None:
        """Ask one peer."""
        peers = self.peers()
        if peers:
            await self.fetch(random.choice(peers), self.watcher.complete_to)

    async def fetch_from_coordinator(self, after: int) -> int:
        """Ask a coordinator for the targets that changed.

        Returns
        -------
        int
            Up to which revision they are known; 0 if nobody told.
        """
        others = [
            known.member
            for known in self.view.coordinators.values()
            if known.member.name != self.own_member.name
        ]
        if not others:
            return 0
        member = min(others, key=attrgetter('name'))
        return await self.fetch(Peer(member.name, member.address), after)

    async def fetch(self, peer: Peer, after: int) -> int:
        """Take the items of a peer that changed after a revision."""
        message = messages.FetchItems(0, after)
        answered = await self.pool.request(peer, message, FETCH_TIMEOUT_S)
        if answered.is_error():
            log_event(
                Event.MEMBER,
                'DEBUG',
                member=peer.daemon,
                state='silent',
                kind=answered.error.kind,
            )
        elif isinstance(answered.ok, messages.StoredItems):
            self.watcher.apply_peer_items(decode_items(answered.ok))
            return int(answered.ok.complete_to)
        return 0

    def peers(self) -> list[Peer]:
        """Return who can be asked."""
        known = [
            Peer(member.name, member.address)
            for member in self.view.members.values()
            if member.name != self.own_member.name
        ]
        named = {peer.address for peer in known}
        unnamed = [
            Peer(DaemonName(f'{UNNAMED_PREFIX}{address}'), address)
            for address in self.addresses
            if address not in named and address != self.own_member.address
        ]
        return known + unnamed
