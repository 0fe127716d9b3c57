import os
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.telemetry._log import MAX_PENDING_BYTES, NonBlockingOutput

LINE = f'{"x" * 999}\n'
LINE_COUNT = 5000
MAX_DURATION_S = 2
READ_BYTES = 1_000_000


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_a_reader_that_has_stopped_delays_nothing(pipe):
    _, writer = pipe
    output = NonBlockingOutput(writer)
    started = time.monotonic()
    for _ in range(LINE_COUNT):
        output.write(LINE)
    assert_that(time.monotonic() - started < MAX_DURATION_S, Is(True))
    assert_that(
        len(output.unwritten) <= MAX_PENDING_BYTES + len(LINE), Is(True)
    )
    assert_that(output.dropped > 0, Is(True))


def test_a_reader_that_comes_back_is_told_what_was_dropped(pipe):
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    for _ in range(LINE_COUNT):
        output.write(LINE)
    received = b''
    dropped = output.dropped
    while output.unwritten:
        received += os.read(reader, READ_BYTES)
        output.write('')
    received += os.read(reader, READ_BYTES)
    assert_that(output.dropped, Equals(0))
    text = received.decode()
    assert_that(f'event=log-dropped lines={dropped}' in text, Is(True))
    whole = {line for line in text.splitlines() if line.startswith('x')}
    assert_that(whole, Equals({LINE.strip()}))
