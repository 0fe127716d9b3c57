"""Connections that may go silent: what is sent over them is swallowed."""

from dataclasses import dataclass

from laburnumyard.core import requests


@dataclass(eq=False)
class Link:
    """A connection between two processes.

    A silent one swallows what is sent over it, and neither end is told. One
    that is closed carries nothing, and its ends have learned of that.
    """

    source: str
    destination: str
    is_silent: bool = False
    is_closed: bool = False

    @property
    def is_lossy(self):
        return self.is_silent or self.is_closed


class Links:
    """Every open connection; fresh ones work also after a silence."""

    def __init__(self):
        self.pool = {}
        self.opened = []

    def open(self, source, destination):
        link = Link(source, destination)
        self.opened.append(link)
        return link

    def between(self, source, destination):
        """Give the kept connection to a daemon, or a fresh one."""
        link = self.pool.get((source, destination))
        if link is None or link.is_closed:
            link = self.open(source, destination)
            self.pool[source, destination] = link
        return link

    def of(self, name):
        """Give the open connections that end at a process."""
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
class Kept:
    """A connection to the target, and what the policy knows of it."""

    link: Link
    note: requests.Connection


class TargetLinks:
    """A dispatcher's connections to its target, under the real policy."""

    def __init__(self, fleet, name, target):
        self.fleet = fleet
        self.ends = (name, target)
        self.policy = requests.ConnectionPolicy()
        self.idle = {}
        self.busy = {}
        self.sent_at = {}
        self.count = 0

    def take(self, request_id):
        """Give the connection on which a request is sent now."""
        notes = [kept.note for kept in self.idle.values()]
        choice = self.policy.choose(notes, False, self.fleet.now)
        for connection_id in choice.close:
            self.idle.pop(connection_id).link.is_closed = True
        kept = self.idle.pop(choice.reuse, None)
        if kept is None or kept.link.is_closed:
            kept = self.open()
        self.busy[request_id] = kept
        self.sent_at[request_id] = self.fleet.now
        return kept.link

    def open(self):
        self.count += 1
        now = self.fleet.now
        note = requests.Connection(self.count, now, now)
        return Kept(self.fleet.links.open(*self.ends), note)

    def answered(self, request_id):
        kept = self.busy.pop(request_id)
        if self.policy.on_answer(kept.note, True, self.fleet.now):
            self.idle[kept.note.connection_id] = kept
        else:
            kept.link.is_closed = True

    def cancelled(self, request_id):
        """Close a connection that has carried no answer in time."""
        kept = self.busy.pop(request_id)
        self.policy.on_timeout(kept.note, self.sent_at[request_id])
        kept.link.is_closed = True

    def broken(self):
        """Give the requests whose connections the target has closed."""
        return [
            request_id
            for request_id, kept in self.busy.items()
            if kept.link.is_closed
        ]

    def broke_off(self, request_id):
        self.busy.pop(request_id)
