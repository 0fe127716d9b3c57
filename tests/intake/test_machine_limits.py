"""Limits of the machine where the settings give none."""

import os

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.intake import (
    MachineLimits,
    choose_limits,
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


@pytest.mark.parametrize(
    ('memory_mb', 'descriptors', 'expected'),
    [(0, 0, (300, 4100)), (160, 0, (160, 4100)), (0, 50, (300, 50))],
)
def test_settings_come_before_the_machine(memory_mb, descriptors, expected):
    chosen = choose_limits(memory_mb, descriptors, MachineLimits(300, 4100))
    assert_that((chosen.memory_mb, chosen.max_descriptors), Equals(expected))
