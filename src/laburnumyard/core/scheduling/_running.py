"""Requests at the targets of a service, by target and by route."""

from collections import Counter, defaultdict

from laburnumyard.core.ids import RouteName, TargetId
from laburnumyard.core.scheduling._work import Work, WorkId


class RunningRequests:
    """Requests that occupy a slot.

    Attributes
    ----------
    works
        All of them.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.works: dict[WorkId, Work] = {}
        self.targets: defaultdict[TargetId, dict[WorkId, Work]]
        self.targets = defaultdict(dict)
        self.routes: Counter[RouteName] = Counter()

    def add(self, work: Work, target: TargetId) -> None:
        """Count a request at a target."""
        work.target = target
        self.works[work.work_id] = work
        self.targets[target][work.work_id] = work
        self.routes[work.route] += 1

    def pop(self, work_id: WorkId) -> Work | None:
        """Remove and return a request, None if it is unknown."""
        work = self.works.pop(work_id, None)
        if work is None or work.target is None:
            return None
        at_target = self.targets[work.target]
        at_target.pop(work_id)
        if not at_target:
            self.targets.pop(work.target)
        self.routes[work.route] -= 1
        if not self.routes[work.route]:
            self.routes.pop(work.route)
        return work

    def at_target(self, target: TargetId) -> dict[WorkId, Work]:
        """Return the requests at a target, which must not be changed."""
        return self.targets.get(target, {})
