import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, IsInstance

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.schema._generated.settings import LimitSettings

ORDER = b'order'
ANSWER = b'the answer'


@pytest.fixture
def new_ledger():
    def build(**limits):
        return requests.TicketLedger('lima-1', 7, LimitSettings(**limits))

    return build


def test_resend_gets_the_first_answer(new_ledger):
    ledger = new_ledger()
    ticket = ledger.issue(1, 0)
    assert_that(ledger.submit(ticket, ORDER, 1), Equals(requests.Run()))
    ledger.finish(ticket, Ran.RAN, ANSWER)
    expected = requests.Replay(ANSWER)
    assert_that(ledger.submit(ticket, ORDER, 2), Equals(expected))


def test_resend_during_the_run_is_told_so(new_ledger):
    ledger = new_ledger()
    ticket = ledger.issue(1, 0)
    ledger.submit(ticket, ORDER, 1)
    decision = ledger.submit(ticket, ORDER, 2)
    assert_that(decision, Equals(requests.StillRunning()))


def test_unknown_outcome_is_never_run_again(new_ledger):
    ledger = new_ledger()
    ticket = ledger.issue(1, 0)
    ledger.submit(ticket, ORDER, 1)
    ledger.finish(ticket, Ran.UNKNOWN, b'broke off')
    decision = ledger.submit(ticket, ORDER, 2)
    assert_that(decision, Equals(requests.Replay(b'broke off')))


def test_ticket_of_what_did_not_run_can_be_used_again(new_ledger):
    ledger = new_ledger()
    ticket = ledger.issue(1, 0)
    ledger.submit(ticket, ORDER, 1)
    ledger.finish(ticket, Ran.NOT_RUN, b'overloaded')
    assert_that(ledger.submit(ticket, ORDER, 2), Equals(requests.Run()))


def test_other_request_with_the_same_ticket_is_a_conflict(new_ledger):
    ledger = new_ledger()
    ticket = ledger.issue(1, 0)
    ledger.submit(ticket, ORDER, 1)
    decision = ledger.submit(ticket, b'other order', 2)
    assert_that(decision, Equals(requests.Conflict()))


@pytest.mark.parametrize(
    'stranger',
    [
        requests.Ticket('lima-2', 7, 0, 1),
        requests.Ticket('lima-1', 6, 0, 1),
        requests.Ticket('lima-1', 7, 5000, 1),
    ],
    ids=['other issuer', 'other incarnation', 'not yet issued'],
)
def test_ticket_that_was_not_issued_here_is_void(new_ledger, stranger):
    decision = new_ledger().submit(stranger, ORDER, 1)
    assert_that(decision.failure.kind, Equals(ErrorKind.TICKET_VOID))


def test_old_ticket_is_void_whether_it_ran_or_not(new_ledger):
    ledger = new_ledger(ticket_life_s=600)
    used, unused = ledger.issue(1, 0), ledger.issue(2, 0)
    ledger.submit(used, ORDER, 1)
    ledger.finish(used, Ran.RAN, ANSWER)
    for ticket in (used, unused):
        decision = ledger.submit(ticket, ORDER, 700)
        assert_that(decision, IsInstance(requests.TicketVoid))
    assert_that(ledger.entries, HasLength(0))


def test_run_that_outlives_its_ticket_is_not_run_again(new_ledger):
    ledger = new_ledger(ticket_life_s=600)
    ticket = ledger.issue(1, 0)
    ledger.submit(ticket, ORDER, 1)
    decision = ledger.submit(ticket, ORDER, 700)
    assert_that(decision, Equals(requests.StillRunning()))


def test_full_ledger_forgets_the_oldest_and_knows_that_it_did(new_ledger):
    ledger = new_ledger(tickets=2, ticket_life_s=600)
    tickets = [ledger.issue(draw, draw) for draw in range(3)]
    for ticket in tickets[:2]:
        ledger.submit(ticket, ORDER, 2)
        ledger.finish(ticket, Ran.RAN, ANSWER)
    decision = ledger.submit(tickets[2], ORDER, 100)
    assert_that(decision, Equals(requests.Run()))
    decision = ledger.submit(tickets[0], ORDER, 100)
    assert_that(decision, IsInstance(requests.TicketVoid))
    assert_that(ledger.entries, HasLength(2))


def test_full_ledger_refuses_new_work_before_it_forgets_fresh(new_ledger):
    ledger = new_ledger(tickets=1, ticket_life_s=600)
    first, second = ledger.issue(1, 0), ledger.issue(2, 0)
    ledger.submit(first, ORDER, 1)
    ledger.finish(first, Ran.RAN, ANSWER)
    decision = ledger.submit(second, ORDER, 2)
    assert_that(decision.failure.kind, Equals(ErrorKind.OVERLOADED))
    decision = ledger.submit(first, ORDER, 2)
    assert_that(decision, Equals(requests.Replay(ANSWER)))


def test_bytes_of_answers_are_bounded(new_ledger):
    ledger = new_ledger(ticket_answer_bytes=1024)
    tickets = [ledger.issue(draw, 0) for draw in range(3)]
    for ticket in tickets:
        ledger.submit(ticket, ORDER, 1)
        ledger.finish(ticket, Ran.RAN, bytes(500))
    dropped = ledger.submit(tickets[0], ORDER, 1)
    assert_that(dropped, IsInstance(requests.TicketVoid))
    kept = ledger.submit(tickets[2], ORDER, 1)
    assert_that(kept, Equals(requests.Replay(bytes(500))))
    assert_that(ledger.answer_bytes, Equals(1000))


def test_draining_ledger_ends_what_runs(new_ledger):
    ledger = new_ledger()
    running, unused = ledger.issue(1, 0), ledger.issue(2, 0)
    ledger.submit(running, ORDER, 1)
    ledger.drain()
    refused = ledger.submit(unused, ORDER, 1)
    assert_that(refused.failure.kind, Equals(ErrorKind.SHUTTING_DOWN))
    ledger.finish(running, Ran.RAN, ANSWER)
    assert_that(ledger.running, Equals(0))
    replayed = ledger.submit(running, ORDER, 1)
    assert_that(replayed, Equals(requests.Replay(ANSWER)))


def test_ticket_survives_its_way_through_the_caller(new_ledger):
    ticket = new_ledger().issue(2**63, 12.5)
    assert_that(requests.parse_ticket(ticket.ticket_id), Equals(ticket))


@pytest.mark.parametrize(
    'text',
    [
        '',
        'lima-1',
        'lima-1.7.0',
        '.7.0.1',
        'lima-1.7.0.x',
        'lima-1.7.0.-1',
        'lima-1.7.0.1 ',
        'lima-1.7.0.0x1',
        'lima-1.07.0.1',
        'lima-1.7.0.1_0',
        'l' * 200,
    ],
)
def test_text_that_is_no_ticket_is_refused(text):
    assert_that(requests.parse_ticket(text), Is(None))


@pytest.mark.parametrize('kind', ErrorKind)
def test_without_the_ledger_nothing_invites_a_new_order(kind):
    answer = requests.failure_before_ledger(Failure(kind)).answer
    assert_that(answer.ran is Ran.NOT_RUN and answer.may_retry, Is(False))
