"""Chooses the daemons that may guard the targets of a scope."""

from collections.abc import Iterator

from laburnumyard.core.ids import DaemonName, DataCentre, TargetName
from laburnumyard.core.ownership import GuardCandidates
from laburnumyard.core.rendezvous_hashing import rank
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._scope_id import ScopeId
from laburnumyard.schema._generated.objects import Fencing

CANDIDATES = 3


def guard_candidates(
    view: ClusterView, scope: ScopeId
) -> Iterator[GuardCandidates]:
    """Yield the guard candidates of each target without fencing.

    Parameters
    ----------
    view
        Provides the configuration and the members.
    scope
        Service and data centre of the targets.

    Yields
    ------
    GuardCandidates
        Daemons of the target's data centre, or of any if it has none, in
        rendezvous order.
    """
    leaving = view.members.directory.leaving()
    for target in view.configuration.service_targets(scope.service):
        is_here = target.data_centre == scope.data_centre
        if is_here and target.fencing is Fencing.none:
            name = TargetName(target.name)
            order = _order(view, name, scope.data_centre)
            yield GuardCandidates(name, order, leaving)


def _order(
    view: ClusterView,
    target: TargetName,
    data_centre: DataCentre,
) -> tuple[DaemonName, ...]:
    near = view.members.in_data_centre(data_centre) or view.members.live()
    ranked = rank(f'dispatcher/{target}', [each.daemon for each in near])
    return tuple(map(DaemonName, ranked[:CANDIDATES]))
