"""Connections that may go silent and then lose every message."""

from dataclasses import dataclass

from laburnumyard.core import requests


@dataclass(eq=False)
class Link:
    """A connection between two processes.

    A silent one loses messages without either end noticing. A closed one
    carries nothing, and both ends know that.
    """

    source: str
    destination: str
    is_silent: bool = False
    is_closed: bool = False

    @property
    def is_lossy(self):
        return self.is_silent or self.is_closed


class Links:
    """All connections; new ones work even after others went silent."""

    def __init__(self):
        self.pool = {}
        self.opened = []

    def open(self, source, destination):
        link = Link(source, destination)
        self.opened.append(link)
        return link

    def between(self, source, destination):
        """Return the pooled connection to a daemon, or a new one."""
        link = self.pool.get((source, destination))
        if link is None or link.is_closed:
            link = self.open(source, destination)
            self.pool[source, destination] = link
        return link

    def of(self, name):
        """Return the open connections of a process."""
        return [
            link
            for link in self.opened
            if name in {link.source, link.destination} and not link.is_closed
        ]

    def silence(self, name):
        for link in self.of(name):
            link.is_silent = True

    def close(self, name):
        """Close the connections of a process that has died."""
        for link in self.of(name):
            link.is_closed = True


@dataclass(eq=False)
class PooledConnection:
    """A connection to the target with its state for the policy."""

    link: Link
    state: requests.Connection


class TargetLinks:
    """A dispatcher's connections to its target, with the real policy."""

    def __init__(self, fleet, name, target):
        self.fleet = fleet
        self.ends = (name, target)
        self.policy = requests.ConnectionPolicy()
        self.idle = {}
        self.busy = {}
        self.sent_at = {}
        self.count = 0

    def take(self, request_id):
        """Return the connection for sending a request now."""
        states = [pooled.state for pooled in self.idle.values()]
        choice = self.policy.choose(states, False, self.fleet.now)
        for connection_id in choice.close:
            self.idle.pop(connection_id).link.is_closed = True
        pooled = self.idle.pop(choice.reuse, None)
        if pooled is None or pooled.link.is_closed:
            pooled = self.open()
        self.busy[request_id] = pooled
        self.sent_at[request_id] = self.fleet.now
        return pooled.link

    def open(self):
        self.count += 1
        now = self.fleet.now
        state = requests.Connection(self.count, now, now)
        return PooledConnection(self.fleet.links.open(*self.ends), state)

    def answered(self, request_id):
        pooled = self.busy.pop(request_id)
        if self.policy.on_answer(pooled.state, True, self.fleet.now):
            self.idle[pooled.state.connection_id] = pooled
        else:
            pooled.link.is_closed = True

    def cancelled(self, request_id):
        """Close a connection after a timeout."""
        pooled = self.busy.pop(request_id)
        self.policy.on_timeout(pooled.state, self.sent_at[request_id])
        pooled.link.is_closed = True

    def broken(self):
        """Return the requests whose connections the target closed."""
        return [
            request_id
            for request_id, pooled in self.busy.items()
            if pooled.link.is_closed
        ]

    def broke_off(self, request_id):
        self.busy.pop(request_id)
