"""Identifies the scope of one lease manager."""

from dataclasses import dataclass

from laburnumyard.core.ids import DataCentre, ServiceName


@dataclass(frozen=True, slots=True)
class ScopeId:
    """Scope of one lease manager: a service's targets in a data centre."""

    service: ServiceName
    data_centre: DataCentre

    def __str__(self) -> str:
        """Return the scope in the form used by logs."""
        return f'{self.service}/{self.data_centre}'
