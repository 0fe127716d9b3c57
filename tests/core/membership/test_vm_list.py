"""Interval between reads of the platform's VM list."""

from itertools import pairwise

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from laburnumyard.core import membership
from laburnumyard.core.membership._settings import VM_ENTRY_BYTES

SETTINGS = membership.MembershipSettings()
DURATION_S = 2000
TICKS_PER_S = 10


def longest_pause(rows):
    """Return the longest time between two reads of a list, in seconds."""
    me = membership.Identity('vm-1', 'lima-a', 'lima', '127.0.0.1:1', 1)
    table = membership.MemberTable(me, SETTINGS, lambda: 0.999)
    read_at = []
    for tick in range(DURATION_S * TICKS_PER_S):
        now = tick / TICKS_PER_S
        effects = table.handle(membership.Tick(), now)
        if membership.ReadVmList() in effects:
            read_at.append(now)
            table.handle(membership.VmListRead((), rows), now)
    return max(later - earlier for earlier, later in pairwise(read_at))


def test_a_short_list_is_read_often():
    longest = SETTINGS.vm_list_interval_s + 1.5 / TICKS_PER_S
    assert_that(longest_pause(7), LessThan(longest))


@pytest.mark.parametrize('rows', [690, 3450])
def test_a_list_that_names_targets_too_stays_within_its_bytes(rows):
    bytes_per_s = rows * VM_ENTRY_BYTES / longest_pause(rows)
    assert_that(1.01 * SETTINGS.vm_list_bytes_per_s, GreaterThan(bytes_per_s))
