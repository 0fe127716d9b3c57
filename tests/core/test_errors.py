from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.errors import ANSWERS, ErrorKind, Ran


def test_every_kind_has_an_answer():
    assert_that(set(ANSWERS), Equals(set(ErrorKind)))


def test_only_requests_that_did_not_run_may_be_sent_again():
    for answer in ANSWERS.values():
        if answer.may_retry:
            assert_that(answer.ran, Is(Ran.NOT_RUN))
