import json
import os

import anyio
import pytest

from tests.support.known_red import known_red_tests
from tests.support.matrix import CELLS_FILE, Fault, Step

POLL_S = 0.001
POLLS = 20_000


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def wait_until():
    """Wait for a condition, with a generous limit."""

    async def poll(condition):
        for _ in range(POLLS):
            if condition():
                return
            await anyio.sleep(POLL_S)
        pytest.fail('the condition never came true')

    return poll


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Note the outcome of each test that proves a cell of the matrix."""
    report = yield
    if report.when == 'call' and os.environ.get(CELLS_FILE):
        _note_cells(item, report)
    return report


def _note_cells(item, report):
    with open(os.environ[CELLS_FILE], 'a') as cells:
        for mark in item.iter_markers('cell'):
            row = {
                'step': Step(mark.kwargs['step']).value,
                'fault': Fault(mark.kwargs['fault']).value,
                'test': item.nodeid,
                'outcome': report.outcome,
            }
            cells.write(f'{json.dumps(row)}\n')
        for mark in item.iter_markers('pair'):
            row = {
                'step': Step(mark.kwargs['step']).value,
                'pair': _pair(mark),
                'test': item.nodeid,
                'outcome': report.outcome,
            }
            cells.write(f'{json.dumps(row)}\n')


def _pair(mark):
    """Return the names of two faults, in one order."""
    one, other = mark.kwargs['faults']
    return sorted((Fault(one).value, Fault(other).value))


def pytest_collection_modifyitems(items):
    """Refuse a mark that names no cell; pass over known faults."""
    known_red = known_red_tests()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
        for mark in item.iter_markers('cell'):
            Step(mark.kwargs['step'])
            Fault(mark.kwargs['fault'])
        for mark in item.iter_markers('pair'):
            Step(mark.kwargs['step'])
            _pair(mark)


def pytest_terminal_summary(terminalreporter):
    """Print every test that KNOWN-RED.txt passes over."""
    for outcome in ('xfailed', 'xpassed'):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f'KNOWN-RED {outcome} {report.nodeid}')
