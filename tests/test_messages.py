from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.schema._generated import messages


@pytest.fixture
def submit():
    return messages.Submit(
        number=7,
        request_id='r-7',
        service='catalogue',
        target='catalogue-1',
        customer='clinic',
        key='bench-17',
        method='GET',
        path='/benches',
        headers=(messages.Header(name='accept', value='*/*'),),
        body=b'\x00\xff',
        deadline_ms=250,
        repeatable=True,
        ticket='',
        hops=1,
    )


def test_message_survives_the_wire(submit):
    assert_that(messages.decode(messages.encode(submit)), Equals(submit))
    numbered = messages.decode(messages.encode(submit, 2**64 - 1))
    assert_that(numbered, Equals(replace(submit, number=2**64 - 1)))


def test_assignment_survives_the_store():
    owned = messages.OwnedRange(start=0, last=2**64 - 1, target='catalogue-1')
    assignment = messages.Assignment(service='catalogue', ranges=(owned,))
    stored = messages.encode_assignment(assignment)
    assert_that(messages.decode_assignment(stored), Equals(assignment))
