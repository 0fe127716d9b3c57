import json
from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clients import StoreErrorKind, Vm, VmList, VmState
from laburnumyard.clients._vms import read_vms

ROW = MappingProxyType(
    {
        'name': 'entry-1',
        'data_centre': 'lima-1',
        'region': 'lima',
        'peer_address': '127.0.0.1:7001',
        'state': 'live',
    },
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(ROW)), inner)
    ),
    max_leaves=8,
)


@pytest.mark.anyio
async def test_list_is_read_within_the_budget(store, platform_app):
    platform_app.vms.start(
        [dict(ROW), ROW | {'name': 'two', 'state': 'leaving'}]
    )
    listed = await VmList(store).read()
    expected = Vm('entry-1', 'lima-1', 'lima', '127.0.0.1:7001', VmState.LIVE)
    assert_that(listed.ok[0], Equals(expected))
    assert_that(listed.ok[1].state, Is(VmState.LEAVING))
    assert_that(platform_app.calls['vms'], Equals(1))


@pytest.mark.parametrize(
    'rows',
    [
        {},
        [dict(ROW), 7],
        [dict(ROW), dict(ROW)],
        [ROW | {'name': ''}],
        [ROW | {'name': 'n' * 65}],
        [ROW | {'state': 'asleep'}],
        [ROW | {'peer_address': 'example.com:80'}],
        [ROW | {'peer_address': '127.0.0.1:99999'}],
        [ROW | {'region': None}],
    ],
)
def test_bad_list_is_refused_whole(rows):
    listed = read_vms(rows)
    assert_that(listed.error.kind, Is(StoreErrorKind.MALFORMED))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(JSON_VALUES)
def test_no_list_crashes_the_reader(rows):
    decoded = json.loads(json.dumps(rows))
    assert_that(read_vms(decoded).is_ok() or True, Is(True))
    assert_that(read_vms([decoded]).is_error(), Is(True))
