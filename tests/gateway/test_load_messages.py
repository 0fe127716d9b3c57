"""Messages about slots between gateways of this and an earlier release."""

from pathlib import Path

import capnp
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import NO_LIMIT
from laburnumyard.core.scheduling import Outcome, RunReport
from laburnumyard.gateway._load_messages import decode_done, encode_done
from laburnumyard.schema._generated import messages

SCHEMA = Path(messages.__file__).parent.parent / 'messages.capnp'
# Fields that the earlier release does not have.
NEW_FIELDS = (
    'costClass @13 :UInt32;',
    'waitedMs @14 :UInt32;',
    'waitedMs @7 :UInt32;',
    'isForCold @8 :Bool;',
    'loadRunning @4 :UInt32;',
    'loadWaiting @5 :UInt32;',
    'loadSlots @6 :UInt32;',
    'loadSlowdown @7 :UInt32;',
)
REPORT = RunReport(Outcome.ANSWERED, 1200, NO_LIMIT, LoadReport(3, 1, 4, 2.5))


@pytest.fixture(scope='module')
def earlier(tmp_path_factory):
    """Return the message schema of the earlier release."""
    text = SCHEMA.read_text()
    for field in NEW_FIELDS:
        assert_that(field in text, Is(True))
        text = text.replace(field, '')
    path = tmp_path_factory.mktemp('schema') / 'earlier.capnp'
    path.write_text(text.replace('@0xd6b3f1a2c4e59781', '@0xd6b3f1a2c4e59782'))
    return capnp.load(str(path))


@pytest.mark.parametrize(
    'report',
    [
        REPORT,
        RunReport(Outcome.SHED),
        RunReport(Outcome.FAILED, 7, load=LoadReport(0, 0, 8)),
    ],
)
def test_a_run_report_survives_the_wire(report):
    done = messages.decode(messages.encode(encode_done(7, report)))
    assert_that(decode_done(done), Equals(report))


def test_the_end_of_a_run_from_an_earlier_release_has_no_load(earlier):
    """Guards against a report of an idle target where there is none."""
    envelope = earlier.Envelope.new_message()
    done = envelope.init('done')
    done.number = 7
    done.outcome = 'answered'
    done.payloadBytes = 12
    decoded = messages.decode(envelope.to_bytes())
    assert_that(decode_done(decoded), Equals(RunReport(Outcome.ANSWERED, 12)))


def test_a_slot_request_of_an_earlier_release_has_no_cost_class(earlier):
    envelope = earlier.Envelope.new_message()
    ask = envelope.init('ask')
    ask.service = 'catalogue'
    ask.sends = 2
    decoded = messages.decode(envelope.to_bytes())
    assert_that((decoded.cost_class, decoded.sends), Equals((0, 2)))


def test_an_earlier_release_reads_the_end_of_a_run(earlier):
    """It would keep the slot of a message that it cannot read."""
    frame = messages.encode(encode_done(7, REPORT))
    with earlier.Envelope.from_bytes(frame) as envelope:
        done = envelope.done
        assert_that(
            (done.number, done.outcome, done.payloadBytes, done.rateLimit),
            Equals((7, 'answered', 1200, 'none')),
        )
