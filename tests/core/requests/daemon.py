"""A simulated daemon: entry, ticket issuer and dispatcher."""

from functools import partial

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.schema._generated.settings import LimitSettings
from tests.core.requests.constants import DAEMONS, DISPATCHER, POISON
from tests.core.requests.dispatcher import Dispatcher
from tests.core.requests.fleet import Call
from tests.core.requests.target import Target


class Daemon:
    """Entry and ticket issuer, driven as the real daemon drives them."""

    dispatcher_class = Dispatcher
    target_class = Target
    quarantine_class = requests.Quarantine

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        incarnation = fleet.processes[name].incarnation
        self.ledger = requests.TicketLedger(name, incarnation, LimitSettings())
        self.quarantine = self.quarantine_class()
        self.dispatcher = self.dispatcher_class(fleet, name)

    def ask_ticket(self, reply):
        self.fleet.reach('issue-ticket')
        draw = self.fleet.order
        reply(self.ledger.issue(draw, self.fleet.now).ticket_id)

    def submit(self, order, ticket_id, reply):
        self.fleet.reach('admit')
        ticket = requests.parse_ticket(ticket_id)
        answer = partial(self.answer_caller, reply)
        if (
            self.fleet.processes[ticket.issuer].incarnation
            != ticket.incarnation
        ):
            answer(Failure(ErrorKind.TICKET_VOID))
            return
        call = Call(self.fleet, self.name, ticket.issuer, answer)
        if self.fleet.is_cut(self.name, ticket.issuer):
            call.on_result = None
            unreachable = Failure(ErrorKind.PEER_UNREACHABLE)
            answer(self.without_ledger(unreachable))
            return
        call.start('submit_to_ledger', order, ticket)

    def without_ledger(self, failure):
        return requests.failure_before_ledger(failure)

    def answer_caller(self, reply, result):
        reply(result)

    def submit_to_ledger(self, order, ticket, reply):
        if ticket.ticket_id in self.ledger.entries:
            self.fleet.reach('retry')
        fingerprint = order.encode()
        decision = self.ledger.submit(ticket, fingerprint, self.fleet.now)
        if isinstance(decision, requests.Run):
            ended = partial(self.note_end, ticket, reply)
            refusal = self.refusal(order)
            if refusal is not None:
                ended(refusal)
                return
            call = Call(self.fleet, self.name, DISPATCHER, ended)
            call.start('dispatch', order)
        elif isinstance(decision, requests.Replay):
            reply(decode(decision.answer))
        else:
            reply(decision.failure)

    def note_end(self, ticket, reply, result):
        ran = Ran.RAN
        if isinstance(result, Failure):
            ran = result.answer.ran
        self.ledger.finish(ticket, ran, encode(result))
        reply(result)

    def dispatch(self, order, reply):
        refusal = self.refusal(order)
        if refusal is None:
            self.dispatcher.dispatch(order, reply)
        else:
            reply(refusal)

    def refusal(self, order):
        """Return the quarantine refusal of an order that killed targets."""
        return self.quarantine.refusal(fingerprint(order), self.fleet.now)

    def note_death(self, death, orders):
        """Attribute a death to the orders the target ran, and share it."""
        fingerprints = map(fingerprint, orders)
        now = self.fleet.now
        suspects = self.quarantine.note_death(death, fingerprints, now)
        for other in DAEMONS:
            if other != self.name:
                call = Call(self.fleet, self.name, other, None)
                call.start('learn', suspects)

    def learn(self, suspects, reply):
        self.quarantine.merge(suspects, self.fleet.now)


def fingerprint(order):
    """Fingerprint of an order; all poison orders have the same one."""
    return (POISON if order.startswith(POISON) else order).encode()


def encode(result):
    if isinstance(result, Failure):
        kind = result.kind.value
        return f'!{kind}'.encode()
    return result.encode()


def decode(answer):
    text = answer.decode()
    if text.startswith('!'):
        return Failure(ErrorKind(text[1:]))
    return text
