"""Routes: the service of a host and path, and the limits that apply."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from laburnumyard.core.ids import RouteName, Seconds, ServiceName


@dataclass(frozen=True, slots=True)
class RouteShare:
    """A service and its share of a route's requests.

    Parameters
    ----------
    service
        The service.
    weight
        Its share, relative to the other parts.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services and limits of one host and path prefix.

    Parameters
    ----------
    name
        Unique within a table.
    host
        The ``host`` header without a port, in lower case.
    prefix
        Begins and ends with a slash.
    parts
        The services that share the requests; at least one.
    is_repeatable
        Whether a request may run more than once.
    timeout_s
        The longest wait for an answer, in seconds.
    objective_s
        The latency up to which a response has its full value, in seconds.
    rank
        The priority; 0 is the most urgent.
    max_targets
        Largest number of targets to which one request may be sent.
    """

    name: RouteName
    host: str
    prefix: str
    parts: tuple[RouteShare, ...]
    is_repeatable: bool
    timeout_s: Seconds
    objective_s: Seconds
    rank: int
    max_targets: int


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service as configured by the operator.

    Parameters
    ----------
    name
        Its name.
    health_path
        The path of its health check.
    connections
        Number of connections that each target accepts.
    is_keyed
        Whether each key is owned by exactly one target.
    warm_up_s
        How long a target is cold after its start, in seconds; 0 if unknown.
    warm_up_per_s
        Requests per second that a cold target tolerates from the whole fleet;
        0 for no limit.
    """

    name: ServiceName
    health_path: str
    connections: int
    is_keyed: bool
    warm_up_s: float = 0
    warm_up_per_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers.

    Parameters
    ----------
    header_bytes, body_bytes
        The largest head and body, in bytes.
    head_timeout_s
        The longest wait for a whole head, in seconds.
    idle_timeout_s
        How long a connection may stay idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the routes and services.

    Parameters
    ----------
    version
        Incremented with each change.
    routes
        All routes.
    services
        All services by name.
    limits
        Limits on the requests of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceSpec]
    limits: CallerLimits = CallerLimits()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host
            Host name in any case, with or without a port and the dot of the
            DNS root.
        path
            The path of the request; a query may follow.
        """
        name = host.partition(':')[0].removesuffix('.').lower()
        matching = (
            route
            for route in self.routes
            if route.host == name and path.startswith(route.prefix)
        )
        return max(matching, key=_prefix_length, default=None)

    def service_names(self) -> frozenset[ServiceName]:
        """Return the services that are configured or have a route."""
        routed = (part.service for route in self.routes for part in route.parts)
        return frozenset((*self.services, *routed))

    def keyed_services(self) -> tuple[ServiceName, ...]:
        """Return the services in which each key has exactly one owner."""
        return tuple(
            spec.name for spec in self.services.values() if spec.is_keyed
        )


@dataclass(slots=True)
class WeightedServiceChooser:
    """Smooth weighted round-robin over the services of split routes.

    Each choice goes to the part furthest behind its share, so the counts of any
    run of requests differ from the shares by less than one request per part.
    """

    credits: dict[RouteName, list[float]] = field(default_factory=dict)

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route.

        Parameters
        ----------
        route
            A route of the current table.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        credits = self.credits.get(route.name, [])
        if len(credits) != len(route.parts):
            credits = [float(0) for _ in route.parts]
        for index, part in enumerate(route.parts):
            credits[index] += part.weight / total
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= 1
        self.credits[route.name] = credits
        return route.parts[chosen].service


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
