"""What the admin address answers."""

from collections.abc import Mapping
from http import HTTPStatus

from laburnumyard.core.ids import ServiceName
from laburnumyard.core.keys import hash_key
from laburnumyard.daemon._admin import AdminAnswer, AdminRequest, Handler
from laburnumyard.daemon._clock import boot_time
from laburnumyard.daemon._node import Node


class Operations:
    """Answers operators' calls about one daemon.

    Parameters
    ----------
    node
        The daemon.
    """

    def __init__(self, node: Node) -> None:
        """Keep the daemon."""
        self.node = node

    async def health(self, request: AdminRequest) -> AdminAnswer:
        """Tell that the process answers."""
        return AdminAnswer('ok\n')

    async def ready(self, request: AdminRequest) -> AdminAnswer:
        """Tell whether the balancer may send callers here."""
        if self.node.is_ready:
            return AdminAnswer('ready\n')
        return AdminAnswer('not ready\n', HTTPStatus.SERVICE_UNAVAILABLE)

    async def metrics(self, request: AdminRequest) -> AdminAnswer:
        """Show counters and percentiles."""
        lines = '\n'.join(self.node.metrics.lines())
        return AdminAnswer(f'{lines}\n')

    async def status(self, request: AdminRequest) -> AdminAnswer:
        """Show what the daemon knows and which roles it has."""
        node = self.node
        view = node.view
        return AdminAnswer(
            {
                'daemon': view.name,
                'incarnation': view.incarnation,
                'ready': node.is_ready,
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
                    for scope in node.ownership.held()
                ],
                'store': {
                    'down': node.store.is_down(boot_time()),
                    'last_contact_s': boot_time() - node.store.last_contact,
                },
                'in_flight': node.entry.in_flight,
            }
        )

    async def owner(self, request: AdminRequest) -> AdminAnswer:
        """Show which target owns a key and who dispatches to it."""
        service = ServiceName(request.query.get('service', ''))
        key = request.query.get('key', '')
        view = self.node.view
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


def make_handlers(node: Node) -> Mapping[tuple[str, str], Handler]:
    """Return what answers each call of the admin address."""
    operations = Operations(node)
    return {
        ('GET', '/health'): operations.health,
        ('GET', '/ready'): operations.ready,
        ('GET', '/metrics'): operations.metrics,
        ('GET', '/status'): operations.status,
        ('GET', '/owner'): operations.owner,
    }
