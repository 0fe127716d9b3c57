"""Follows a gateway that reads the store, so that few gateways read it.

Coordinators and the gateways named in the settings read the store. The others
fetch from one of these what they have read, and read the store themselves only
while none of them answers with current items.
"""

import random
from collections.abc import Iterable

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import DaemonName, Seconds
from laburnumyard.gateway._cluster_view import ClusterView, Member
from laburnumyard.gateway._item_cache import (
    decode_items,
    decode_members,
    progress_of,
)
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_watcher import StoreWatcher
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import Event, log_event
from laburnumyard.wire import UNNAMED_PREFIX, LinkPool, Peer

MS_PER_SECOND = 1000
# Longest wait for news in one fetch.
WAIT_S = 1.0
# Interval between fetches of a gateway that reads the store, while the store is
# unreachable: a configuration must be in force two seconds after it was stored.
FETCH_INTERVAL_S = 0.4
FETCH_TIMEOUT_S = 0.4
# Pause before another peer is asked.
RETRY_PAUSE_S = 0.05
# A peer without current items is not asked again for this long.
REJECTION_S = 2.0
# Time without current items after which this gateway reads the store, and a
# random part so that gateways that lose one peer do not all read at once.
PATIENCE_S = 1.2
PATIENCE_JITTER_S = 0.8


class PeerReader:
    """Fetches the cached store items of peers.

    Parameters
    ----------
    watcher
        Applies the items, and reads the store where that is needed.
    health
        Reachability of the store.
    view
        Known members and coordinators.
    pool
        Links to peers, for fetches only.
    own_member
        Record of this gateway.
    addresses
        Addresses of gateways that read the store, from the settings.
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
        """Create a reader that follows nobody yet."""
        self.watcher = watcher
        self.health = health
        self.view = view
        self.pool = pool
        self.own_member = own_member
        self.addresses = tuple(addresses)
        self.source: Peer | None = None
        self.rejected_until: dict[str, Seconds] = {}
        self.patient_until = self.next_patience()
        view.on_coordinators.append(self.update_mode)

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the store for others."""
        is_named = self.own_member.address in self.addresses
        return is_named or self.watcher.is_coordinator()

    async def run(self) -> None:
        """Follow a peer or assist the own watches, until cancelled."""
        self.update_mode()
        while True:
            if not self.is_reader:
                await self.follow()
                continue
            self.update_mode()
            await anyio.sleep(FETCH_INTERVAL_S)
            if not self.health.is_reachable:
                await self.fetch_from_random_peer()

    def update_mode(self) -> None:
        """Read the store at once when this gateway becomes a reader."""
        if self.is_reader:
            self.watcher.set_direct(is_direct=True)

    async def follow(self) -> None:
        """Fetch once from a reader, or read the store after a while."""
        source = self.choose_source()
        if source is None:
            await anyio.sleep(FETCH_INTERVAL_S)
        elif await self.fetch(source, WAIT_S):
            self.source = source
            self.patient_until = self.next_patience()
            self.watcher.set_direct(is_direct=self.is_reader)
            return
        else:
            self.source = None
            until = Seconds(boot_time() + REJECTION_S)
            self.rejected_until[source.address] = until
            await anyio.sleep(RETRY_PAUSE_S)
        if boot_time() >= self.patient_until:
            self.watcher.set_direct(is_direct=True)

    def choose_source(self) -> Peer | None:
        """Return the peer to follow: the last one, or another at random."""
        now = boot_time()
        if self.source is not None:
            return self.source
        candidates = [
            peer
            for peer in self.readers()
            if self.rejected_until.get(peer.address, 0) <= now
        ]
        return random.choice(candidates) if candidates else None

    async def fetch_from_random_peer(self) -> None:
        """Fetch what any known gateway has, while the store is unreachable."""
        peers = self.readers()
        known = {peer.address for peer in peers}
        peers.extend(
            Peer(member.name, member.address)
            for member in self.view.members.values()
            if member.address not in known
        )
        if peers:
            await self.fetch(random.choice(peers), 0)

    async def fetch(self, peer: Peer, wait_s: float) -> bool:
        """Fetch and apply the items that changed.

        Parameters
        ----------
        peer
            Gateway to ask.
        wait_s
            How long it may wait for news, in seconds.

        Returns
        -------
        bool
            Whether the peer reads the store and its items are current.
        """
        known = self.watcher.known
        message = messages.FetchItems(
            0,
            known.targets,
            known.config,
            known.coordinators,
            int(wait_s * MS_PER_SECOND),
            self.view.max_milli_cores,
        )
        reply = await self.pool.request(peer, message, wait_s + FETCH_TIMEOUT_S)
        if reply.is_error():
            log_event(
                Event.MEMBER,
                'DEBUG',
                member=peer.daemon,
                state='silent',
                kind=reply.error.kind,
            )
            return False
        if not isinstance(reply.ok, messages.StoredItems):
            return False
        progress = progress_of(reply.ok)
        self.view.note_cores(reply.ok.milli_cores)
        for member in decode_members(reply.ok):
            self.view.note_member(member)
        self.watcher.apply_peer_items(decode_items(reply.ok), progress)
        return progress.is_complete

    def readers(self) -> list[Peer]:
        """Return the other gateways that read the store."""
        by_address = {
            address: Peer(DaemonName(f'{UNNAMED_PREFIX}{address}'), address)
            for address in self.addresses
        }
        for coordinator in self.view.coordinators.values():
            member = coordinator.member
            by_address[member.address] = Peer(member.name, member.address)
        by_address.pop(self.own_member.address, None)
        return list(by_address.values())

    def next_patience(self) -> Seconds:
        """Return the time until which no current items are waited for."""
        jitter = PATIENCE_JITTER_S * random.random()
        return Seconds(boot_time() + PATIENCE_S + jitter)
