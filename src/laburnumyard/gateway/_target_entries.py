"""Applies the entries that targets keep in the store."""

from dataclasses import replace

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.target_directory import TargetRecord
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._entry_versions import EntryVersions
from laburnumyard.gateway._item_cache import ItemCache, with_removals
from laburnumyard.gateway._platform_interface import Item, WireFormat
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.telemetry import Event, log_event

# Targets whose entries expired in a store outage register again within this
# time after it, as the platform specifies.
RETURN_GRACE_S = 2


class TargetEntries:
    """Updates the targets of the view from their store entries.

    Parameters
    ----------
    wire_format
        Format of entries.
    view
        View to update.
    cache
        Cache of the items, for peers.
    health
        Tells when the last store outage ended.
    """

    def __init__(
        self,
        wire_format: WireFormat,
        view: ClusterView,
        cache: ItemCache,
        health: StoreHealth,
    ) -> None:
        """Create the object without entries."""
        self.wire_format = wire_format
        self.view = view
        self.cache = cache
        self.health = health
        self.targets: dict[TargetId, TargetRecord] = {}
        self.versions = EntryVersions()
        # Targets without an entry, and the time until which they are kept.
        self.absent_until: dict[TargetId, Seconds] = {}
        # Revision of the last entry that took a target out of use.
        self.departure_revision = 0
        # Whether an entry ended the time in which a target returns from an
        # evacuation.
        self.has_returned = False

    def apply_listing(self, items: tuple[Item, ...], revision: int) -> None:
        """Apply a full listing of targets; missing ones are removed."""
        prefix = self.wire_format.target_prefix
        known = tuple(self.targets)
        self.apply_changes(with_removals(items, prefix, known, revision))

    def final_to(self, revision: int) -> int:
        """Return the revision up to which no removal may be undone.

        Parameters
        ----------
        revision
            Revision up to which the entries are known.
        """
        prefix = self.wire_format.target_prefix
        pending = (
            self.cache.items[f'{prefix}{target}'].revision - 1
            for target in self.absent_until
            if f'{prefix}{target}' in self.cache.items
        )
        return min(pending, default=revision)

    def apply_changes(
        self, items: tuple[Item, ...], *, is_from_peer: bool = False
    ) -> None:
        """Apply changed targets, read from the store or by a peer."""
        before = dict(self.targets)
        self.has_returned = False
        prefix = self.wire_format.target_prefix
        for item in items:
            self.apply_target(item, is_from_peer=is_from_peer)
        now = boot_time()
        for target, until in tuple(self.absent_until.items()):
            if now >= until:
                self.absent_until.pop(target)
                self.targets.pop(target, None)
                self.note_departure(self.cache.items[f'{prefix}{target}'])
                log_event(Event.TARGET, target=target, state='gone')
        if self.targets != before or self.has_returned:
            self.view.adopt_directory(self.targets)

    def is_cached_as_removed(self, key: str) -> bool:
        """Whether peers would be told that an entry is gone.

        An entry that expired in a store outage may come back unchanged. If the
        cache kept its removal, followers would drop the live target for good.
        """
        cached = self.cache.items.get(key)
        return cached is not None and cached.content is None

    def note_departure(self, item: Item) -> None:
        """Record that an entry, or its removal, took a target out of use."""
        self.departure_revision = max(self.departure_revision, item.revision)

    def apply_target(self, item: Item, *, is_from_peer: bool) -> None:
        """Apply the entry of one target."""
        now = boot_time()
        prefix = self.wire_format.target_prefix
        target = TargetId(item.key.removeprefix(prefix))
        if item.content is None:
            self.versions.record_removal(target, item.revision)
            self.cache.update(item)
            if target in self.targets:
                returned = self.health.regained_at or -RETURN_GRACE_S
                until = Seconds(returned + RETURN_GRACE_S)
                self.absent_until.setdefault(target, until)
            return
        decoded = self.wire_format.decode_target(item.key, item.content)
        if decoded.is_error():
            # A malformed entry, such as one of another writer, is ignored.
            self.cache.log_malformed(item.key, decoded.error)
            return
        if self.versions.is_outdated(
            decoded.ok, item.revision, is_from_peer=is_from_peer
        ):
            return
        self.versions.record(decoded.ok, item.revision)
        self.absent_until.pop(target, None)
        known = self.targets.get(target)
        record = _timed(decoded.ok, known, now)
        self.targets[target] = record
        if known != record and _must_hear_at_once(record, known):
            self.note_departure(item)
        is_awaited = self.view.evacuations.awaits_entry(record.life)
        if known != record or is_awaited or self.is_cached_as_removed(item.key):
            self.cache.update(item)
        if self.view.evacuations.note_entry(record, item.revision, now):
            self.has_returned = True
        _log_changes(record, known, item.revision)


def _timed(
    record: TargetRecord, known: TargetRecord | None, now: Seconds
) -> TargetRecord:
    """Return a record that was read now, with the time until it is cold.

    An entry that is read again is as old as it was: it states the time left
    when it was written.
    """
    if not record.warm_up_left_s:
        return record
    cold_until = Seconds(now + record.warm_up_left_s)
    if known == record and known.sequence == record.sequence:
        cold_until = known.cold_until
    return replace(record, cold_until=cold_until)


def _must_hear_at_once(
    record: TargetRecord, known: TargetRecord | None
) -> bool:
    """Whether followers must hear of a change before their next fetch."""
    if not record.accepts_requests:
        return True
    if known is None or known.life != record.life:
        return False
    return bool(record.warm_up_left_s) and not known.warm_up_left_s


def _log_changes(
    record: TargetRecord, known: TargetRecord | None, revision: int
) -> None:
    """Log what an entry changes."""
    if known is None or (known.life, known.state) != (
        record.life,
        record.state,
    ):
        log_event(
            Event.TARGET,
            target=record.target,
            state=record.state,
            service=record.service,
            address=record.address,
            started_at_ms=record.life.started_at_ms,
            revision=revision,
        )
    was_cold = known is not None and known.warm_up_left_s > 0
    if was_cold != (record.warm_up_left_s > 0):
        log_event(
            Event.TARGET,
            target=record.target,
            state='warm' if was_cold else 'cold',
            service=record.service,
            warm_up_left_s=record.warm_up_left_s,
            revision=revision,
        )
