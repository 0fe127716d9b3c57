"""Holds one dispatcher for each target that this daemon serves."""

from expression import Error, Result

from laburnumyard.clocks import boot_time
from laburnumyard.core import requests
from laburnumyard.core.configuration import Configuration
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import Seconds, ServiceName, TargetName
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._crash_detection import (
    CrashDetector,
    TargetCrashMonitor,
    quarantine_refusal,
)
from laburnumyard.daemon._dispatcher import Dispatcher
from laburnumyard.daemon._guards import Guards, TargetGuard
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job
from laburnumyard.daemon._load_meter import LoadMeter
from laburnumyard.daemon._target_connection_pool import TargetConnectionPool
from laburnumyard.schema._generated.objects import Target

Outcome = Result[Response, Failure]


class MeteredRun:
    """Runs jobs at a target and measures how long each holds a slot.

    Parameters
    ----------
    view
        Provides the routing table of the job's service.
    meter
        Accumulates the run times.
    connection_pool
        Sends the jobs to the target.
    quarantine
        Checked again before the send: the job may have been quarantined while
        it waited in the queue.
    """

    def __init__(
        self,
        view: ClusterView,
        meter: LoadMeter,
        connection_pool: TargetConnectionPool,
        quarantine: requests.Quarantine,
    ) -> None:
        """Initialise with no run measured."""
        self.view = view
        self.meter = meter
        self.connection_pool = connection_pool
        self.quarantine = quarantine

    async def __call__(self, job: Job) -> Outcome:
        """Run a job, unless it was quarantined while it waited."""
        refusal = quarantine_refusal(self.quarantine, job)
        if refusal is not None:
            return Error(refusal)
        started = boot_time()
        try:
            return await self.connection_pool.run(job)
        finally:
            table = self.view.tables.get(job.service)
            if table is not None:
                busy = Seconds(boot_time() - started)
                self.meter.record(table, job.key_hash, busy)


class Targets:
    """Runs jobs at targets; creates a dispatcher on a target's first job.

    Parameters
    ----------
    view
        The configuration and the limits.
    guards
        Grants of the targets that do not check fencing tokens.
    crash_detector
        Detects crashed targets.
    meter
        Measures the load on the targets.
    """

    def __init__(
        self,
        view: ClusterView,
        guards: Guards,
        crash_detector: CrashDetector,
        meter: LoadMeter,
    ) -> None:
        """Initialise with no dispatcher."""
        self.view = view
        self.guards = guards
        self.crash_detector = crash_detector
        self.meter = meter
        self.dispatchers: dict[TargetName, Dispatcher] = {}
        self.connection_pools: dict[TargetName, TargetConnectionPool] = {}
        self.times: dict[ServiceName, requests.OperationTimes] = {}

    async def run_here(self, job: Job, target_name: TargetName) -> Outcome:
        """Queue a job for a target and return its outcome."""
        dispatcher = self.dispatchers.get(target_name)
        if dispatcher is None:
            dispatcher = self._start(target_name)
        if dispatcher is None:
            detail = f'target {target_name!r} is not configured here yet'
            return Error(Failure(ErrorKind.NO_OWNER, detail))
        service = self.connection_pools[target_name].target.service
        if service != job.service:
            detail = f'target {target_name!r} serves {service}'
            return Error(Failure(ErrorKind.NO_OWNER, detail))
        # A daemon that forwards the job may not know yet that it was
        # quarantined.
        refusal = quarantine_refusal(self.crash_detector.quarantine, job)
        if refusal is not None:
            return Error(refusal)
        return await dispatcher.run(job)

    def reconfigure(self, configuration: Configuration) -> None:
        """Apply new settings of targets, priority classes and shares."""
        for name in tuple(self.dispatchers):
            target = configuration.targets.get(name)
            if target is None or target.address != self._address(name):
                self._stop(name)
                continue
            settings = requests.queue_settings(configuration.objects, name)
            change = requests.SettingsChanged(settings)
            self.dispatchers[name].feed(change)

    def release_moved(self, service: ServiceName, table: RoutingTable) -> None:
        """Release the jobs whose keys are now owned by another target."""
        for name, dispatcher in self.dispatchers.items():
            if self.connection_pools[name].target.service == service:
                dispatcher.release(name, table)

    def drain(self) -> None:
        """Finish the queued jobs and accept no new ones."""
        event = requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True)
        for dispatcher in self.dispatchers.values():
            dispatcher.feed(event)

    @property
    def is_idle(self) -> bool:
        """Whether no job is queued or running."""
        return all(each.queue.is_idle for each in self.dispatchers.values())

    def _address(self, name: TargetName) -> str:
        return self.connection_pools[name].target.address

    def _stop(self, name: TargetName) -> None:
        event = requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False)
        self.dispatchers.pop(name).feed(event)
        self.connection_pools.pop(name).close()

    def _start(self, name: TargetName) -> Dispatcher | None:
        configuration = self.view.configuration
        if configuration is None or name not in configuration.targets:
            return None
        target = configuration.targets[name]
        settings = requests.queue_settings(configuration.objects, name)
        service = ServiceName(target.service)
        times = self.times.get(service)
        if times is None:
            times = requests.OperationTimes()
            self.times[service] = times
        connection_pool = self._make_connection_pool(name, target)
        queue = requests.TargetQueue(settings, times)
        self.connection_pools[name] = connection_pool
        quarantine = self.crash_detector.quarantine
        run = MeteredRun(self.view, self.meter, connection_pool, quarantine)
        self.dispatchers[name] = Dispatcher(queue, run)
        return self.dispatchers[name]

    def _note_unreachable(self, name: TargetName) -> None:
        dispatcher = self.dispatchers.get(name)
        if dispatcher is not None:
            dispatcher.feed(requests.TargetSheds())

    def _make_connection_pool(
        self, name: TargetName, target: Target
    ) -> TargetConnectionPool:
        return TargetConnectionPool(
            target,
            self.view.settings.limits.body_bytes,
            TargetGuard(self.guards, name),
            TargetCrashMonitor(target, self.crash_detector),
            lambda: self._note_unreachable(name),
        )
