"""Limits of the machine where the settings give none."""

import os

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.intake import (
    MachineLimits,
    derive_bounds,
    read_machine_limits,
)

BYTES_PER_MB = 1_000_000
UNIFIED = 'sys/fs/cgroup'
MEMORY = 'sys/fs/cgroup/memory'


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a file below the root."""

    def write_file(path, text):
        file = tmp_path / path
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text)

    return write_file


# Without a setting there was no limit at all.
def test_half_of_the_memory_is_the_limit_without_a_control_group(tmp_path):
    memory = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    limits = read_machine_limits(tmp_path)
    assert_that(limits.memory_mb, Equals(memory / 2 / BYTES_PER_MB))
    assert_that(limits.max_descriptors, GreaterThan(0))


@pytest.mark.parametrize(
    ('group', 'files', 'expected'),
    [
        ('0::/a/b', {f'{UNIFIED}/a/b/memory.max': '160000000'}, 160),
        ('0::/a/b', {f'{UNIFIED}/a/memory.max': '90000000\n'}, 90),
        ('0::/', {f'{UNIFIED}/memory.max': '70000000'}, 70),
        (
            '3:cpu:/\n2:memory:/a',
            {f'{MEMORY}/a/memory.limit_in_bytes': '50000000'},
            50,
        ),
    ],
)
def test_the_limit_of_the_control_group_holds(
    tmp_path, write, group, files, expected
):
    write('proc/self/cgroup', f'{group}\n')
    for path, text in files.items():
        write(path, text)
    assert_that(read_machine_limits(tmp_path).memory_mb, Equals(expected))


@pytest.mark.parametrize('text', ['max', '', '9223372036854771712'])
def test_a_control_group_without_a_limit_is_ignored(tmp_path, write, text):
    write('proc/self/cgroup', '0::/a\n')
    write(f'{UNIFIED}/a/memory.max', text)
    limits = read_machine_limits(tmp_path)
    memory = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    assert_that(limits.memory_mb, LessThan(memory / BYTES_PER_MB))


# Of 300 and 160 MB, 75 and 72 MB are kept for what isn't counted.
@pytest.mark.parametrize(
    ('memory_mb', 'descriptors', 'expected'),
    [
        (0, 0, (225, 4100)),
        (160, 0, (88, 4100)),
        (0, 50, (225, 50)),
    ],
)
def test_settings_come_before_the_machine(memory_mb, descriptors, expected):
    configured = MachineLimits(memory_mb, descriptors)
    bounds = derive_bounds(configured, MachineLimits(300, 4100))
    limit_mb = bounds.account.limit_bytes / BYTES_PER_MB
    assert_that((limit_mb, bounds.callers.descriptors), Equals(expected))


# Installations without settings keep the system's buffers, and a load balancer
# whose connections are all in use is not refused.
def test_limits_of_the_machine_bound_neither_buffers_nor_addresses():
    bounds = derive_bounds(MachineLimits(0, 0), MachineLimits(300, 1024))
    callers = bounds.callers
    limits = (callers.socket_buffer_bytes, callers.for_each_address)
    assert_that(limits, Equals((0, 0)))


@pytest.mark.parametrize(('given', 'expected'), [(0, 576), (100, 100)])
def test_limits_of_the_settings_bound_buffers_and_addresses(given, expected):
    configured = MachineLimits(300, 1024)
    bounds = derive_bounds(configured, MachineLimits(300, 1024), given)
    assert_that(bounds.callers.for_each_address, Equals(expected))
    assert_that(bounds.callers.buffer_bytes(1), Equals(131_072))
    assert_that(bounds.operators.connections, Equals(64))


# The sum of the buffers grows far slower than the number of connections.
@pytest.mark.parametrize(
    ('connections', 'expected'), [(10, 131_072), (100, 27_500), (5000, 4096)]
)
def test_buffers_shrink_as_connections_become_more(connections, expected):
    configured = MachineLimits(160, 1638)
    bounds = derive_bounds(configured, configured)
    size = bounds.callers.buffer_bytes(connections)
    assert_that(size, Equals(expected))
