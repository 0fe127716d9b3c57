"""Reads store items from peers while the store is unreachable."""

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

# Interval between fetches: a configuration must be in force two seconds after
# the operator wrote it.
FETCH_INTERVAL_S = 0.4
FETCH_TIMEOUT_S = 0.4


class PeerReader:
    """Fetches the cached store items of peers.

    Parameters
    ----------
    watcher
        Applies the items.
    health
        Reachability of the store.
    view
        Known members and coordinators.
    pool
        Links to peers.
    own_member
        Record of this gateway.
    addresses
        Addresses of peers whose name is not known.
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
        """Create a reader and register it with the watcher."""
        self.watcher = watcher
        self.health = health
        self.view = view
        self.pool = pool
        self.own_member = own_member
        self.addresses = tuple(addresses)
        watcher.fetch_from_coordinator = self.fetch_from_coordinator

    async def run(self) -> None:
        """Fetch from peers while the store is unreachable, until cancelled."""
        while True:
            await anyio.sleep(FETCH_INTERVAL_S)
            if not self.health.is_reachable:
                await self.fetch_from_peer()

    async def fetch_from_peer(self) -> None:
        """Fetch the missing items of one random peer."""
        peers = self.peers()
        if peers:
            await self.fetch(random.choice(peers), self.watcher.complete_to)

    async def fetch_from_coordinator(self, after: int) -> int:
        """Fetch changed targets from a coordinator.

        Returns
        -------
        int
            Revision up to which targets are known; 0 without a response.
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
        """Fetch and apply the items that changed after a revision."""
        message = messages.FetchItems(0, after)
        reply = await self.pool.request(peer, message, FETCH_TIMEOUT_S)
        if reply.is_error():
            log_event(
                Event.MEMBER,
                'DEBUG',
                member=peer.daemon,
                state='silent',
                kind=reply.error.kind,
            )
        elif isinstance(reply.ok, messages.StoredItems):
            self.watcher.apply_peer_items(decode_items(reply.ok))
            return int(reply.ok.complete_to)
        return 0

    def peers(self) -> list[Peer]:
        """Return all known peers except this gateway."""
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
