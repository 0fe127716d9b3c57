"""Applies the evacuations that operators keep in the store."""

from collections.abc import Callable, Iterable

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import DataCentre
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._item_cache import ItemCache, with_removals
from laburnumyard.gateway._platform_interface import Item, WireFormat
from laburnumyard.telemetry import METRICS, Event, log_event

# Content of an evacuation in the cache; peers take empty content for a removal.
PRESENT = b'{}'


class EvacuationRecords:
    """Updates the evacuations of the view from store items.

    Parameters
    ----------
    wire_format
        Names of the keys.
    view
        View to update.
    cache
        Cache of the items, for peers.
    is_loaded
        Whether all items up to some revision are known, so that a removal is
        a recent one.
    """

    def __init__(
        self,
        wire_format: WireFormat,
        view: ClusterView,
        cache: ItemCache,
        is_loaded: Callable[[], bool],
    ) -> None:
        """Create the object; nothing is read yet."""
        self.is_loaded = is_loaded
        METRICS.set_gauge('evacuated_data_centres', 0)
        self.prefix = wire_format.evacuation_prefix
        self.view = view
        self.cache = cache

    def listing_marker(self, revision: int) -> Item:
        """Return an item that tells peers that all evacuations are listed.

        A reader that was restarted does not know the ends of evacuations from
        before. Earlier versions ignore the item.
        """
        return Item(self.prefix, PRESENT, revision)

    def ended_by_peer(self, items: Iterable[Item]) -> tuple[Item, ...]:
        """Return the ends of evacuations that a peer's listing lacks."""
        listed = [item for item in items if item.key.startswith(self.prefix)]
        markers = [item for item in listed if item.key == self.prefix]
        if not markers:
            return ()
        complete = self.with_ended(tuple(listed), markers[0].revision)
        return complete[len(listed) :]

    def with_ended(
        self, items: tuple[Item, ...], revision: int
    ) -> tuple[Item, ...]:
        """Return a full listing with the end of each evacuation it lacks."""
        known = tuple(self.view.evacuations.data_centres)
        return with_removals(items, self.prefix, known, revision)

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed evacuations; other items have no effect."""
        for item in items:
            if item.key.startswith(self.prefix):
                self.apply_item(item)

    def apply_item(self, item: Item) -> None:
        """Apply the evacuation of one data centre, or its end."""
        data_centre = DataCentre(item.key.removeprefix(self.prefix))
        if not data_centre:
            return
        content = item.content and PRESENT
        if not self.cache.update(Item(item.key, content, item.revision)):
            # Older than what is known, such as the answer to an earlier watch.
            return
        if content is None:
            is_new = self.end(data_centre, item.revision)
            state = 'ended'
        else:
            is_new = self.view.begin_evacuation(data_centre)
            state = 'begun'
        if is_new:
            METRICS.set_gauge(
                'evacuated_data_centres',
                len(self.view.evacuations.data_centres),
            )
            log_event(
                Event.EVACUATION,
                data_centre=data_centre,
                state=state,
                targets=self.view.count_targets(data_centre),
                revision=item.revision,
            )

    def end(self, data_centre: DataCentre, revision: int) -> bool:
        """Apply the end of an evacuation.

        Peers pass on the ends of evacuations from before this gateway started;
        they say nothing of its targets.

        Parameters
        ----------
        data_centre, revision
            The data centre, and the store revision of the end.

        Returns
        -------
        bool
            Whether it changes anything.
        """
        is_known = data_centre in self.view.evacuations.data_centres
        if not is_known and not self.is_loaded():
            return False
        self.view.end_evacuation(data_centre, revision, boot_time())
        return True
