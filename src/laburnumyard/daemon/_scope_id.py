"""What one lease manager manages."""

from dataclasses import dataclass

from laburnumyard.core.ids import DataCentre, ServiceName


@dataclass(frozen=True, slots=True)
class ScopeId:
    """What one lease manager manages: a service's targets in a data centre."""

    service: ServiceName
    data_centre: DataCentre

    def __str__(self) -> str:
        """Return the scope as logs show it."""
        return f'{self.service}/{self.data_centre}'
