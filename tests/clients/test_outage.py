from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clients._outage import OutageDetector


def test_silence_without_a_failure_is_no_outage():
    outage = OutageDetector(outage_after_s=3, last_contact=10)
    assert_that(outage.is_down(1000), Is(False))


def test_failures_are_an_outage_after_the_patience():
    outage = OutageDetector(outage_after_s=3, last_contact=10)
    outage.note_failure()
    assert_that(outage.is_down(12), Is(False))
    assert_that(outage.is_down(13), Is(True))
    outage.note_contact(14)
    assert_that(outage.is_down(1000), Is(False))
    assert_that(outage.last_contact, Equals(14))
