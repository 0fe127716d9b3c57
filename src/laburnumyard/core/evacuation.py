"""Data centres that operators have evacuated, and the targets that return.

While a data centre is evacuated, its targets get no requests. When the
evacuation ends they may be cold, and their entries may be from before: they
count as cold until an entry that was written later says otherwise.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from laburnumyard.core.ids import DataCentre, Seconds, ServiceName
from laburnumyard.core.routes import ServiceSpec
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)

# An entry that arrives this long after the end of an evacuation was written
# after the gateway learned of the end: targets write each 0.87 s, and gateways
# read within a second of a write.
WRITTEN_AFTER_S = 2.0
# A service without a configured warm-up time states it in entries only.
MIN_RETURN_S = 3.0
# Time after the end of an evacuation in which unchanged entries are passed on
# to followers, which may have learned of the end a second later.
ENTRY_NEWS_S = 6.0


@dataclass(frozen=True, slots=True)
class Return:
    """The return of a target from an evacuated data centre.

    Parameters
    ----------
    learned_at
        When this gateway learned of the end of the evacuation.
    revision
        Store revision of the end.
    warm_from
        Time from which the target is known to be warm without an entry.
    """

    learned_at: Seconds
    revision: int
    warm_from: Seconds


class Evacuations:
    """The evacuated data centres, and the targets that have returned.

    Attributes
    ----------
    data_centres
        Evacuated data centres.
    returned
        Targets of which no entry was read that they wrote after the
        evacuation of their data centre ended.
    """

    def __init__(self) -> None:
        """Create the object without evacuations."""
        self.data_centres: set[DataCentre] = set()
        self.returned: dict[TargetLife, Return] = {}

    def begin(self, data_centre: DataCentre) -> bool:
        """Record an evacuation; return whether it is new."""
        is_new = data_centre not in self.data_centres
        self.data_centres.add(data_centre)
        return is_new

    def end(
        self,
        data_centre: DataCentre,
        revision: int,
        records: Iterable[TargetRecord],
        services: Mapping[ServiceName, ServiceSpec],
        now: Seconds,
    ) -> bool:
        """Record the end of an evacuation, also of one that was never seen.

        Its begin may have been missed: it is not read if the key is removed
        before the next reading.

        Parameters
        ----------
        data_centre, revision
            The data centre, and the store revision of the end.
        records
            Known targets.
        services
            Configured services, for their warm-up times.
        now
            The current time, in seconds.

        Returns
        -------
        bool
            Whether the data centre was evacuated.
        """
        was_known = data_centre in self.data_centres
        self.data_centres.discard(data_centre)
        self.forget_outdated(now)
        for record in records:
            if record.data_centre == data_centre:
                spec = services.get(record.service)
                warm_up_s = max(MIN_RETURN_S, spec.warm_up_s if spec else 0)
                self.returned[record.life] = Return(
                    now, revision, Seconds(now + warm_up_s)
                )
        return was_known

    def forget_outdated(self, now: Seconds) -> None:
        """Forget returns whose targets are known to be warm by now."""
        self.returned = {
            life: known
            for life, known in self.returned.items()
            if now < max(known.warm_from, known.learned_at + ENTRY_NEWS_S)
        }

    def note_entry(
        self, record: TargetRecord, revision: int, now: Seconds
    ) -> bool:
        """Record an entry that was read.

        Returns
        -------
        bool
            Whether the entry now decides if its target is cold.
        """
        known = self.returned.get(record.life)
        if known is None:
            return False
        is_later = revision > known.revision
        if not is_later or now - known.learned_at < WRITTEN_AFTER_S:
            return False
        if now - known.learned_at >= ENTRY_NEWS_S:
            self.returned.pop(record.life)
            return now < known.warm_from
        # Kept without effect, since followers still need the next entries.
        self.returned[record.life] = replace(known, warm_from=Seconds(0))
        return known.warm_from > 0

    def awaits_entry(self, life: TargetLife) -> bool:
        """Whether even an unchanged entry of a target is news."""
        return life in self.returned

    def record_in_force(self, record: TargetRecord) -> TargetRecord:
        """Return the record of a target as evacuations change it."""
        known = self.returned.get(record.life)
        if known is not None and known.warm_from > record.cold_until:
            record = replace(record, cold_until=known.warm_from)
        if record.data_centre not in self.data_centres:
            return record
        if record.state is not TargetState.READY:
            return record
        return replace(record, state=TargetState.EVACUATED)
