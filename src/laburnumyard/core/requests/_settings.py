"""Settings of a target's queue, taken from the configuration objects."""

from collections.abc import Mapping
from dataclasses import dataclass

from laburnumyard.core.ids import ClassName, CustomerName, TargetName
from laburnumyard.schema._generated.objects import (
    Objects,
    PriorityClass,
    Service,
    Share,
    Target,
)


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """The settings of one target's queue.

    Parameters
    ----------
    service
        The service of the target.
    target
        The target.
    classes
        Every priority class by name.
    shares
        The paid shares of the service by customer.
    """

    service: Service
    target: Target
    classes: Mapping[ClassName, PriorityClass]
    shares: Mapping[CustomerName, Share]

    @property
    def common_class(self) -> PriorityClass:
        """The class of requests without a paid share or beyond it."""
        return self.classes[ClassName(self.service.common_class)]


def queue_settings(objects: Objects, target_name: TargetName) -> QueueSettings:
    """Extract the settings of one target's queue from all objects.

    Parameters
    ----------
    objects
        Validated configuration objects.
    target_name
        The name of the target.

    Returns
    -------
    QueueSettings
        The settings of the queue.

    Raises
    ------
    LookupError
        If no such target is configured.
    """
    targets = {target.name: target for target in objects.target}
    if target_name not in targets:
        raise LookupError(
            f'unknown target {target_name!r}: use one of {sorted(targets)}',
        )
    target = targets[target_name]
    services = {service.name: service for service in objects.service}
    return QueueSettings(
        service=services[target.service],
        target=target,
        classes={ClassName(each.name): each for each in objects.priority_class},
        shares=_shares_of(objects, target.service),
    )


def _shares_of(objects: Objects, service: str) -> dict[CustomerName, Share]:
    return {
        CustomerName(customer.name): share
        for customer in objects.customer
        for share in customer.shares
        if share.service == service
    }
