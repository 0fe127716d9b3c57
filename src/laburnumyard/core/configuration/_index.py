"""Immutable, indexed view of a validated set of objects."""

import hmac
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from types import MappingProxyType
from typing import Any, TypeVar

from laburnumyard.core.ids import (
    ClassName,
    CustomerName,
    KeyHash,
    RangeName,
    ServiceName,
    TargetName,
)
from laburnumyard.core.key_hashing import HashRange, hash_position
from laburnumyard.schema._generated.objects import (
    Customer,
    KeyRange,
    Objects,
    PriorityClass,
    Service,
    Share,
    Target,
)

_Named = TypeVar('_Named')


@dataclass(frozen=True, slots=True)
class KeySpan:
    """A configured key range, mapped to the hash space.

    Parameters
    ----------
    name
        The name of the key range.
    service
        The service of the keys.
    hash_range
        The part of the hash space.
    targets
        The targets that may own keys in it.
    """

    name: RangeName
    service: ServiceName
    hash_range: HashRange
    targets: tuple[TargetName, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Configuration:
    """A validated set of objects, indexed by name.

    Parameters
    ----------
    files
        The source TOML documents, by file name.
    objects
        All objects as written in the documents.
    services
        Services by name.
    spans
        The key spans of each service, in the order of the hash space.
    targets
        Targets by name.
    customers
        Customers by name.
    classes
        Priority classes by name.
    shares
        The share bought by each customer, by service and customer.
    """

    files: Mapping[str, str]
    objects: Objects
    services: Mapping[ServiceName, Service]
    spans: Mapping[ServiceName, tuple[KeySpan, ...]]
    targets: Mapping[TargetName, Target]
    customers: Mapping[CustomerName, Customer]
    classes: Mapping[ClassName, PriorityClass]
    shares: Mapping[ServiceName, Mapping[CustomerName, Share]]

    def service_targets(self, service: ServiceName) -> tuple[Target, ...]:
        """Return the targets of a service, in the order of their names.

        Parameters
        ----------
        service
            The name of a service; an unknown one has no targets.

        Returns
        -------
        tuple of Target
            The targets, including draining ones.
        """
        return tuple(
            target
            for _, target in sorted(self.targets.items())
            if target.service == service
        )

    def span_of(self, service: ServiceName, key_hash: KeyHash) -> KeySpan:
        """Return the key span that holds a key.

        Parameters
        ----------
        service
            The name of a configured service.
        key_hash
            The hash of the key.

        Returns
        -------
        KeySpan
            The span; it is unique, because the spans of a service cover its
            hash space without overlap.

        Raises
        ------
        KeyError
            If there is no such service.
        """
        spans = self.spans[service]
        starts = [span.hash_range.start for span in spans]
        return spans[bisect_right(starts, key_hash) - 1]

    def share_of(
        self,
        service: ServiceName,
        customer: CustomerName,
    ) -> Share | None:
        """Return the share of a service that a customer has bought, if any."""
        return self.shares.get(service, {}).get(customer)

    def class_of(
        self,
        service: ServiceName,
        customer: CustomerName,
    ) -> PriorityClass:
        """Return the priority class of a customer's requests to a service.

        Raises
        ------
        KeyError
            If there is no such service.
        """
        share = self.share_of(service, customer)
        if share is None:
            return self.classes[ClassName(self.services[service].common_class)]
        return self.classes[ClassName(share.priority_class)]


def index_objects(files: Mapping[str, str], objects: Objects) -> Configuration:
    """Return the indexed view of a validated set of objects.

    Parameters
    ----------
    files
        The documents that hold the objects.
    objects
        The objects of all documents, which must have passed all checks.

    Returns
    -------
    Configuration
        The indexed objects.
    """
    return Configuration(
        files=MappingProxyType(dict(files)),
        objects=objects,
        services=by_name(objects.service),
        spans=_index_spans(objects.key_range),
        targets=by_name(objects.target),
        customers=by_name(objects.customer),
        classes=by_name(objects.priority_class),
        shares=_index_shares(objects.customer),
    )


def target_names(key_range: KeyRange) -> tuple[TargetName, ...]:
    """Return the names of the targets that a key range lists."""
    return tuple(TargetName(str(name.root)) for name in key_range.targets)


def is_token_of(token: str, token_sha256: str) -> bool:
    """Return whether a token has the given hash, in constant time.

    Parameters
    ----------
    token
        The token sent by a caller or operator.
    token_sha256
        The SHA-256 from the configuration or settings, in hexadecimal; an empty
        one matches no token.

    Returns
    -------
    bool
        Whether the token matches the hash.
    """
    found = sha256(token.encode('utf-8', 'surrogateescape')).hexdigest()
    return hmac.compare_digest(found.encode(), token_sha256.encode())


def by_name(objects: Iterable[_Named]) -> Mapping[Any, _Named]:
    """Return objects as a read-only mapping from their names."""
    return MappingProxyType({item.name: item for item in objects})


def _index_spans(
    key_ranges: Iterable[KeyRange],
) -> Mapping[ServiceName, tuple[KeySpan, ...]]:
    spans = defaultdict(list)
    for key_range in sorted(key_ranges, key=lambda item: item.start):
        spans[key_range.service].append(_make_span(key_range))
    return MappingProxyType(
        {service: tuple(found) for service, found in spans.items()}
    )


def _make_span(key_range: KeyRange) -> KeySpan:
    return KeySpan(
        RangeName(key_range.name),
        ServiceName(key_range.service),
        HashRange(
            hash_position(key_range.start), hash_position(key_range.stop)
        ),
        target_names(key_range),
    )


def _index_shares(
    customers: Iterable[Customer],
) -> Mapping[ServiceName, Mapping[CustomerName, Share]]:
    shares = defaultdict(dict)
    for customer in customers:
        for share in customer.shares:
            shares[share.service][customer.name] = share
    return MappingProxyType(
        {service: MappingProxyType(found) for service, found in shares.items()}
    )
