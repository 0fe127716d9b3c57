"""Handlers of the calls on the admin address."""

from collections.abc import Mapping
from http import HTTPStatus

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import ServiceName, TargetName
from laburnumyard.core.key_hashing import hash_key
from laburnumyard.daemon._admin import AdminAnswer, AdminRequest, Handler
from laburnumyard.daemon._control_relay import wait_until
from laburnumyard.daemon._daemon import Daemon

UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
# Timeout and poll interval for an order to move or drain to take effect.
ORDER_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class AdminHandlers:
    """Answers operators' calls about one daemon.

    Parameters
    ----------
    daemon
        The daemon.
    """

    def __init__(self, daemon: Daemon) -> None:
        """Initialise; the daemon need not be ready."""
        self.daemon = daemon

    async def health(self, request: AdminRequest) -> AdminAnswer:
        """Report that the process is alive."""
        return AdminAnswer('ok\n')

    async def ready(self, request: AdminRequest) -> AdminAnswer:
        """Report whether the load balancer may send callers here."""
        if self.daemon.is_ready:
            return AdminAnswer('ready\n')
        return AdminAnswer('not ready\n', HTTPStatus.SERVICE_UNAVAILABLE)

    async def metrics(self, request: AdminRequest) -> AdminAnswer:
        """Return counters and latency percentiles."""
        lines = '\n'.join(self.daemon.metrics.lines())
        return AdminAnswer(f'{lines}\n')

    async def status(self, request: AdminRequest) -> AdminAnswer:
        """Return what the daemon knows and which roles it has."""
        daemon = self.daemon
        view = daemon.view
        return AdminAnswer(
            {
                'daemon': view.name,
                'incarnation': view.incarnation,
                'ready': daemon.is_ready,
                'leaving': view.is_leaving,
                'draining': view.is_draining,
                'configuration': {'version': view.configuration_version},
                'assignments': {
                    service: snapshot.head.version
                    for service, snapshot in view.snapshots.items()
                },
                'members': {
                    name: member.state.value
                    for name, member in view.members.state.members.items()
                },
                'scopes': [
                    f'{scope.service}/{scope.data_centre}'
                    for scope in daemon.ownership.managed_scopes()
                ],
                'store': {
                    'down': daemon.store.is_down(boot_time()),
                    'last_contact_s': boot_time() - daemon.store.last_contact,
                },
                'in_flight': daemon.caller_app.in_flight,
            }
        )

    async def owner(self, request: AdminRequest) -> AdminAnswer:
        """Return which target owns a key and which daemon dispatches to it."""
        service = ServiceName(request.query.get('service', ''))
        key = request.query.get('key', '')
        view = self.daemon.view
        table = view.tables.get(service)
        if table is None or not key:
            detail = (
                f'service {service!r} and key {key!r}: name a configured '
                f'service ({", ".join(sorted(view.tables))}) and a key'
            )
            return AdminAnswer({'error': detail}, HTTPStatus.NOT_FOUND)
        key_hash = hash_key(key)
        target = table.owner(key_hash)
        return AdminAnswer(
            {
                'service': service,
                'key': key,
                'key_hash': key_hash,
                'target': target,
                'dispatcher': target and view.dispatcher_of(target),
                'version': table.version,
            }
        )

    async def move(self, request: AdminRequest) -> AdminAnswer:
        """Move the range of a key to a target and wait for the move."""
        service = ServiceName(str(request.message.get('service', '')))
        target = TargetName(str(request.message.get('target', '')))
        key = str(request.message.get('key', ''))
        problem = self._move_problem(service, target, key)
        if problem:
            return AdminAnswer({'error': problem}, HTTPStatus.NOT_FOUND)
        key_hash = hash_key(key)
        if not self.daemon.relay.move(service, key_hash, target):
            detail = f'the lease manager of {key!r} is unreachable; retry'
            return AdminAnswer({'error': detail}, UNAVAILABLE)
        tables = self.daemon.view.tables
        has_moved = await wait_until(
            lambda: tables[service].owner(key_hash) == target,
            ORDER_TIMEOUT_S,
            POLL_INTERVAL_S,
        )
        if has_moved:
            return AdminAnswer(
                {'service': service, 'key': key, 'target': target}
            )
        return _outcome_unknown('the range has not moved yet')

    async def drain(self, request: AdminRequest) -> AdminAnswer:
        """Drain a target and wait until it owns no range."""
        target = TargetName(str(request.message.get('target', '')))
        if self._service_of(target) is None:
            return self._unknown_target(target)
        self.daemon.relay.drain(target, draining=True)
        is_empty = await wait_until(
            lambda: self._is_drained(target),
            ORDER_TIMEOUT_S,
            POLL_INTERVAL_S,
        )
        if is_empty:
            return AdminAnswer({'target': target, 'draining': True})
        return _outcome_unknown(f'{target} still owns ranges')

    async def undrain(self, request: AdminRequest) -> AdminAnswer:
        """Let a target own ranges again."""
        target = TargetName(str(request.message.get('target', '')))
        if self._service_of(target) is None:
            return self._unknown_target(target)
        self.daemon.relay.drain(target, draining=False)
        return AdminAnswer({'target': target, 'draining': False})

    def _move_problem(
        self,
        service: ServiceName,
        target: TargetName,
        key: str,
    ) -> str:
        if service not in self.daemon.view.tables:
            known = ', '.join(sorted(self.daemon.view.tables))
            return f'service {service!r}: name one of {known}'
        if self._service_of(target) != service:
            return f'target {target!r}: name a target of {service}'
        return '' if key else 'key: name the key whose range is to move'

    def _service_of(self, target: TargetName) -> str | None:
        configuration = self.daemon.view.configuration
        if configuration is None or target not in configuration.targets:
            return None
        return configuration.targets[target].service

    def _is_drained(self, target: TargetName) -> bool:
        service = ServiceName(str(self._service_of(target)))
        snapshot = self.daemon.view.snapshots.get(service)
        if snapshot is None or target not in snapshot.head.draining:
            return False
        owners = {owned.target for owned in snapshot.assignment.ranges}
        return target not in owners

    def _unknown_target(self, target: TargetName) -> AdminAnswer:
        detail = f'target {target!r}: name a configured target'
        return AdminAnswer({'error': detail}, HTTPStatus.NOT_FOUND)


def _outcome_unknown(detail: str) -> AdminAnswer:
    status = HTTPStatus.GATEWAY_TIMEOUT
    return AdminAnswer({'error': f'{detail}; query the state again'}, status)


def make_handlers(daemon: Daemon) -> Mapping[tuple[str, str], Handler]:
    """Return the handlers of the admin address by method and path."""
    operations = AdminHandlers(daemon)
    return {
        ('GET', '/health'): operations.health,
        ('GET', '/ready'): operations.ready,
        ('GET', '/metrics'): operations.metrics,
        ('GET', '/status'): operations.status,
        ('GET', '/owner'): operations.owner,
        ('POST', '/move'): operations.move,
        ('POST', '/drain'): operations.drain,
        ('POST', '/undrain'): operations.undrain,
    }
