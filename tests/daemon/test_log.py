import re

import anyio
import pytest
from loguru import logger
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from laburnumyard.telemetry._log import (
    DECISION_LOG,
    LINE_FORMAT,
    Event,
    log_decision,
    log_event,
)

PATTERN = re.compile(
    r'\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=INFO event=\S+ .*'
)


@pytest.fixture
def log_lines():
    logger.remove()
    lines = []
    DECISION_LOG.lines.clear()
    sink = logger.add(lines.append, format=LINE_FORMAT, level='INFO')
    yield lines
    logger.remove(sink)


def split(log_lines):
    return ''.join(log_lines).splitlines()


@pytest.mark.anyio
async def test_a_decision_is_one_line_like_an_event(log_lines):
    log_decision(Event.ROUTED, request='r-1', target='c1', outcome='answered')
    log_event(Event.ADOPTED, version=7)
    lines = split(log_lines)
    assert_that(lines, HasLength(2))
    for line in lines:
        assert_that(bool(PATTERN.fullmatch(line)), Equals(True))
    tail = 'event=routed request=r-1 target=c1 outcome=answered'
    assert_that(lines[0], Contains(tail))


@pytest.mark.anyio
async def test_decisions_are_written_soon_without_another_event(log_lines):
    for number in range(3):
        log_decision(Event.ROUTED, request=number)
    with anyio.fail_after(20):
        while not log_lines:  # noqa: ASYNC110
            await anyio.sleep(0.005)
    assert_that(split(log_lines), HasLength(3))


@pytest.mark.anyio
async def test_many_decisions_are_not_kept_back(log_lines):
    for number in range(DECISION_LOG.max_lines):
        log_decision(Event.ROUTED, request=number)
    assert_that(split(log_lines), HasLength(DECISION_LOG.max_lines))


@pytest.mark.anyio
async def test_no_value_can_forge_a_line(log_lines):
    log_decision(Event.ROUTED, request='a\nevent=forged', key='b"= c{}')
    log_event(Event.FAULT, error='a\r\nb {x} <red>')
    lines = split(log_lines)
    assert_that(lines, HasLength(2))
    assert_that(lines[0], Contains(r'request="a\nevent=forged"'))
    assert_that(lines[0], Contains(r'key="b\"= c{}"'))
