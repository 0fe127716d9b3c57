import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan, MatchesAny

from laburnumyard.core import requests
from laburnumyard.core.errors import ANSWERS, ErrorKind, Ran
from laburnumyard.schema._generated.objects import Service


@pytest.fixture
def new_budget():
    def build(retry_share=0.1):
        service = Service(
            name='orders',
            region='lima',
            common_class='common',
            retry_share=retry_share,
        )
        return requests.RetryBudget(service)

    return build


@pytest.mark.parametrize('kind', ErrorKind)
def test_only_what_did_not_run_is_retried_if_not_repeatable(new_budget, kind):
    if requests.may_retry(kind, False, 1, 0, new_budget()):
        assert_that(ANSWERS[kind].ran, Equals(Ran.NOT_RUN))


def test_repeatable_request_is_retried_after_a_broken_answer(new_budget):
    kind = ErrorKind.TARGET_BROKE_OFF
    allowed = requests.may_retry(kind, True, 1, 0, new_budget())
    assert_that(allowed, Is(True))


@pytest.mark.parametrize(
    ('remaining', 'hops'), [(0, 0), (-1, 0), (0.001, 0), (1, 4)]
)
def test_no_retry_past_the_deadline_or_the_hops(new_budget, remaining, hops):
    kind = ErrorKind.NO_OWNER
    allowed = requests.may_retry(kind, True, remaining, hops, new_budget())
    assert_that(allowed, Is(False))


def test_retries_stay_within_their_share(new_budget):
    budget = new_budget(retry_share=0.1)
    retries = 0
    for _ in range(10_000):
        budget.note_request()
        if requests.may_retry(ErrorKind.TARGET_SHED, True, 1, 0, budget):
            budget.spend()
            retries += 1
    assert_that(retries, MatchesAny(LessThan(1011), Equals(1011)))


def test_no_share_means_no_retry(new_budget):
    budget = new_budget(retry_share=0)
    allowed = requests.may_retry(ErrorKind.TARGET_SHED, True, 1, 0, budget)
    assert_that(allowed, Is(False))


def test_hops_bound_how_often_daemons_multiply_tries(new_budget):
    def sends(hops):
        tries = 1
        while requests.may_retry(
            ErrorKind.PEER_UNREACHABLE, True, 1, hops, new_budget()
        ):
            hops += 1
            tries += sends(hops)
        return tries

    assert_that(sends(0), LessThan(17))


def test_delay_grows_and_stays_bounded():
    delays = [requests.retry_delay(tries, 1) for tries in range(1, 20)]
    assert_that(delays, Equals(sorted(delays)))
    assert_that(delays[-1], Equals(0.2))
