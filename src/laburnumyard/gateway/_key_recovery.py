"""Frees the keys of a service after the store has lost its assignment."""

from collections.abc import Collection, Mapping

import anyio
from expression import Result

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import FencingToken, Seconds, ServiceName
from laburnumyard.core.shards import (
    Move,
    RangeRelease,
    Reply,
    ShardManager,
)
from laburnumyard.core.target_directory import TargetLife
from laburnumyard.gateway._platform_interface import Item, TargetOrders
from laburnumyard.gateway._record_encoding import StoredAssignment
from laburnumyard.gateway._store_revision import era_of
from laburnumyard.telemetry import Event, log_event

# A release is answered only after running requests end.
RELEASE_TIMEOUT_S = 2.5
RETRY_PAUSE_S = 0.2


def is_outdated_copy(
    item: Item,
    decoded: Result[StoredAssignment, str],
    known_revision: int,
    era: int,
) -> bool:
    """Whether the store has lost an assignment that was read or written.

    Parameters
    ----------
    item, decoded
        What is stored now.
    known_revision
        Revision of the assignment that was read or written; 0 for none.
    era
        Current era of the store.
    """
    if not known_revision or era_of(known_revision) >= era:
        return False
    return item.content is None or (decoded.is_ok() and decoded.ok.is_restored)


def fencing_moves(
    manager: ShardManager, lives: Collection[TargetLife]
) -> list[Move]:
    """Return the moves that fence all grants which the store may have lost.

    They refer to the current pieces, which a failed write may replace.

    Parameters
    ----------
    manager
        Assignment of the keys.
    lives
        All known target instances.
    """
    outage_hold = manager.settings.outage_hold_s
    until = boot_time() + outage_hold + manager.settings.max_hold_s
    return manager.unknown_holders.expect(
        manager.pieces, set(lives) - manager.dead, Seconds(until)
    )


class KeyRecovery:
    """Has targets release all keys that they may hold.

    Parameters
    ----------
    service
        The service of the keys.
    orders
        Transport of orders.
    manager
        Assignment of the keys; just written with the moves of
        ``fencing_moves``.
    addresses
        Addresses of the target instances.
    """

    def __init__(
        self,
        service: ServiceName,
        orders: TargetOrders,
        manager: ShardManager,
        addresses: Mapping[TargetLife, str],
    ) -> None:
        """Create the object; see ``run``."""
        self.service = service
        self.orders = orders
        self.manager = manager
        self.addresses = addresses
        self.unknown_holders = manager.unknown_holders
        self.unknown_holders.token = FencingToken(manager.revision)

    async def run(self) -> None:
        """Free the keys at all targets that may hold any."""
        async with anyio.create_task_group() as tasks:
            for life in tuple(self.unknown_holders.lives):
                tasks.start_soon(self.release_all, life)

    async def release_all(self, life: TargetLife) -> None:
        """Have a target release all keys that it was not granted since.

        Without an answer, its grants are waited for: pieces drop holders whose
        grants have expired.
        """
        while life not in self.manager.dead:
            order = self.unknown_holders.next_release(life, self.manager.pieces)
            if order is None:
                break
            reply = await self.send(order)
            if reply is Reply.DONE:
                self.unknown_holders.note_released(order, self.manager.pieces)
            elif reply is Reply.GONE:
                self.manager.note_dead(life)
            else:
                await anyio.sleep(RETRY_PAUSE_S)
        self.unknown_holders.lives.discard(life)

    async def send(self, order: RangeRelease) -> Reply:
        """Send an order and return the reply."""
        answer = await self.orders.send(
            order,
            self.addresses[order.life],
            Seconds(RELEASE_TIMEOUT_S),
            may_reconnect=True,
        )
        log_event(
            Event.ORDER,
            service=self.service,
            order='range-release',
            target=order.life.target,
            first=order.first,
            last=order.last,
            token=order.token,
            reply=answer.reply,
            detail=answer.detail,
        )
        return answer.reply
