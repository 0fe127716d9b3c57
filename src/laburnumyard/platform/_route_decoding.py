"""Decodes the configuration document into a route table."""

from laburnumyard.core.ids import RouteName, Seconds, ServiceName
from laburnumyard.core.routes import (
    CallerLimits,
    Route,
    RouteShare,
    RouteTable,
    ServiceSpec,
)
from laburnumyard.platform._document_fields import (
    MS_PER_SECOND,
    read_amount,
    read_name,
    read_version,
)
from laburnumyard.transport import Fields, read_count, read_list, read_object

# Values of `routeType` whose requests may be repeated; the responses of
# `download` are large.
REPEATABLE_TYPES = frozenset(('safe', 'download'))


def read_routes(document: Fields) -> RouteTable:
    """Return the route table of a configuration document.

    Raises
    ------
    TypeError, ValueError
        If a field is missing or malformed.
    """
    services = [
        _read_service(read_object(raw))
        for raw in read_list(document.get('services'))
    ]
    routes = [
        _read_route(read_object(raw))
        for raw in read_list(document.get('routes'))
    ]
    return RouteTable(
        read_version(document, 'version'),
        tuple(routes),
        {service.name: service for service in services},
        _read_limits(read_object(document.get('limits'))),
    )


def _read_route(fields: Fields) -> Route:
    return Route(
        RouteName(read_name(fields, 'name')),
        read_name(fields, 'host').lower(),
        read_name(fields, 'prefix'),
        _read_parts(fields),
        read_name(fields, 'routeType') in REPEATABLE_TYPES,
        _read_seconds(fields, 'timeoutMs'),
        _read_seconds(fields, 'sloMs'),
        read_count(fields, 'priority'),
        # `maxAttempts` counts targets, not sends.
        max(1, read_count(fields, 'maxAttempts')),
    )


def _read_parts(fields: Fields) -> tuple[RouteShare, ...]:
    if 'split' not in fields or not fields['split']:
        return (RouteShare(ServiceName(read_name(fields, 'service')), 1.0),)
    parts = map(read_object, read_list(fields['split']))
    return tuple(
        RouteShare(
            ServiceName(read_name(part, 'service')),
            read_amount(part, 'weight'),
        )
        for part in parts
    )


def _read_service(fields: Fields) -> ServiceSpec:
    return ServiceSpec(
        ServiceName(read_name(fields, 'name')),
        read_name(fields, 'healthPath'),
        read_count(fields, 'maxConns'),
        fields.get('sharded') is True,
        _read_optional(fields, 'warmupS'),
        _read_optional(fields, 'warmupPerS'),
    )


def _read_optional(fields: Fields, name: str) -> float:
    return 0 if fields.get(name) is None else read_amount(fields, name)


def _read_limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        read_count(fields, 'maxHeaderBytes'),
        read_count(fields, 'maxBodyBytes'),
        _read_seconds(fields, 'headerTimeoutMs'),
        _read_seconds(fields, 'idleTimeoutMs'),
    )


def _read_seconds(fields: Fields, name: str) -> Seconds:
    return Seconds(read_amount(fields, name) / MS_PER_SECOND)
