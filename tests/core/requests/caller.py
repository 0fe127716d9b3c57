"""Callers, whose only fault is that their connections may go silent."""

from dataclasses import dataclass, field
from functools import partial

from laburnumyard.core.errors import Failure, Ran
from tests.core.requests.constants import (
    CALLER_TIMEOUT,
    CALLER_TRIES,
    DAEMONS,
)
from tests.core.requests.fleet import Fleet


@dataclass
class Caller:
    """Submits one order and resends it until its outcome is known."""

    fleet: Fleet
    order: str
    start: int
    tries: int = 0
    ticket_id: str = ''
    answers: list = field(default_factory=list)

    def next_try(self):
        if self.tries >= CALLER_TRIES or self.has_definite_answer():
            return
        self.tries += 1
        entry = DAEMONS[(self.tries + self.start) % len(DAEMONS)]
        owner = self.order
        fleet = self.fleet
        daemon = fleet.daemons[entry]
        # Each attempt uses a new connection.
        link = fleet.links.open(owner, entry)
        if self.ticket_id:
            reply = partial(fleet.send, link, entry, owner, self.receive_answer)
            arguments = (daemon.submit, owner, self.ticket_id, reply)
        else:
            reply = partial(fleet.send, link, entry, owner, self.receive_ticket)
            arguments = (daemon.ask_ticket, reply)
        fleet.send(link, owner, entry, *arguments)
        fleet.at(fleet.now + CALLER_TIMEOUT, owner, self.next_try)

    def receive_ticket(self, ticket_id):
        if not self.ticket_id:
            self.ticket_id = ticket_id
            self.fleet.at(self.fleet.now, self.order, self.next_try)

    def receive_answer(self, answer):
        self.fleet.answers[self.order].append(answer)
        self.answers.append(answer)

    def has_definite_answer(self):
        """Whether an answer settles if the order ran."""
        return any(
            not isinstance(answer, Failure) or answer.answer.ran is Ran.NOT_RUN
            for answer in self.answers
        )
