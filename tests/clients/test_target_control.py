import json
from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, IsInstance

from laburnumyard.clients import (
    GrantOrder,
    RenewOrder,
    SealOrder,
    TargetControl,
    TargetError,
    TargetErrorKind,
    TargetResponse,
)
from laburnumyard.clients._target_codec import (
    decode_answer,
    decode_renewal,
    encode_renewal,
)
from laburnumyard.clients._target_messages import TargetHealth
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange
from standins._serve import serving
from standins.target import Fencing, TargetApp, TargetSettings
from tests.clients.conftest import TEST_TIMEOUT_S

SERVICE = 'catalogue'
WHOLE = HashRange(0, HASH_SPACE)
ANSWER = MappingProxyType(
    {
        'accepted': True,
        'term': 3,
        'sequence': 1,
        'clock_ms': 1000,
        'ranges': [['0', str(HASH_SPACE - 1)]],
        'busy': 0,
    },
)


@pytest.fixture
def target_app():
    return TargetApp(TargetSettings('c1', SERVICE, fencing=Fencing.TOKEN))


@pytest.fixture
async def control(target_address):
    client = TargetControl(target_address)
    yield client
    client.close()


async def seal(control, term):
    answer = await control.seal(SealOrder(SERVICE, term), TEST_TIMEOUT_S)
    return answer.ok


@pytest.mark.anyio
async def test_seal_grant_renew_revoke(control, target_app):
    sealed = await seal(control, 3)
    assert_that((sealed.accepted, sealed.ranges), Equals((True, ())))
    life = (SERVICE, 3, 1, sealed.clock_ms, 600_000)
    granted = await control.grant(GrantOrder(*life, (WHOLE,)), TEST_TIMEOUT_S)
    assert_that(granted.ok.ranges, Equals((WHOLE,)))
    renewed = await control.renew(RenewOrder(*life), TEST_TIMEOUT_S)
    assert_that(renewed.ok.accepted, Is(True))
    revocation = GrantOrder(SERVICE, 3, 2, sealed.clock_ms, 600_000)
    revoked = await control.grant(revocation, TEST_TIMEOUT_S)
    assert_that((revoked.ok.accepted, revoked.ok.ranges), Equals((True, ())))
    assert_that(renewed.ok.sequence, Equals(1))
    behind = RenewOrder(SERVICE, 3, 1, sealed.clock_ms, 600_000)
    refused = await control.renew(behind, TEST_TIMEOUT_S)
    assert_that((refused.ok.accepted, refused.ok.sequence), Equals((False, 2)))
    assert_that(len(control.idle), Equals(1))
    assert_that(len(target_app.state.fence.history), Equals(1))


@pytest.mark.anyio
@pytest.mark.cell(step='seal', fault='pause')
async def test_stale_manager_is_refused(control, target_app):
    sealed = await seal(control, 3)
    await seal(control, 4)
    stale = GrantOrder(SERVICE, 3, 9, sealed.clock_ms, 600_000, (WHOLE,))
    refused = await control.grant(stale, TEST_TIMEOUT_S)
    assert_that((refused.ok.accepted, refused.ok.term), Equals((False, 4)))
    earlier = await control.seal(SealOrder(SERVICE, 2), TEST_TIMEOUT_S)
    assert_that(earlier.ok.accepted, Is(False))
    assert_that(len(target_app.state.fence.history), Equals(0))


@pytest.mark.anyio
async def test_drain_health_load(control, target_app):
    drained = await control.drain(True, TEST_TIMEOUT_S)
    assert_that((drained.ok.draining, drained.ok.busy), Equals((True, 0)))
    health = await control.health(TEST_TIMEOUT_S)
    load = await control.load(TEST_TIMEOUT_S)
    assert_that(health.ok, Equals(TargetHealth(healthy=True, leaving=True)))
    assert_that(load.ok.slots, Equals(3))


@pytest.mark.anyio
async def test_frozen_target_times_out_and_a_fresh_call_works(
    control,
    target_app,
):
    target_app.state.faults.frozen = True
    frozen = await control.seal(SealOrder(SERVICE, 1), 0.02)
    assert_that(frozen.error.kind, Is(TargetErrorKind.TIMEOUT))
    assert_that(frozen.error.has_left, Is(True))
    target_app.state.faults.frozen = False
    target_app.state.settle_faults()
    sealed = await seal(control, 2)
    assert_that(sealed.term, Equals(2))


@pytest.mark.anyio
async def test_unreachable_target_left_nothing():
    client = TargetControl('127.0.0.1:9')
    sealed = await client.seal(SealOrder(SERVICE, 1), TEST_TIMEOUT_S)
    assert_that(sealed.error.kind, Is(TargetErrorKind.UNREACHABLE))
    assert_that(sealed.error.has_left, Is(False))


@pytest.mark.anyio
async def test_target_without_fencing_is_told_apart():
    app = TargetApp(TargetSettings('c1', SERVICE, fencing=Fencing.NONE))
    async with serving(app) as address:
        client = TargetControl(address)
        sealed = await client.seal(SealOrder(SERVICE, 1), TEST_TIMEOUT_S)
        client.close()
    assert_that(sealed.error.kind, Is(TargetErrorKind.UNSUPPORTED))


def decode(fields):
    body = json.dumps(fields).encode()
    return decode_answer(TargetResponse(200, (), body))


def test_whole_hash_space_survives_the_wire():
    assert_that(decode(dict(ANSWER)).ok.ranges, Equals((WHOLE,)))


@pytest.mark.parametrize(
    'change',
    [
        {'accepted': 1},
        {'term': -1},
        {'term': True},
        {'sequence': 1.5},
        {'clock_ms': 10**30},
        {'ranges': None},
        {'ranges': [['5', '3']]},
        {'ranges': [['0', str(HASH_SPACE)]]},
        {'ranges': [['0']]},
        {'ranges': [[0, 5]]},
        {'ranges': [['-1', '5']]},
        {'ranges': [['٣', '5']]},
        {'busy': '0'},
    ],
)
def test_malformed_answers_are_typed(change):
    decoded = decode(ANSWER | change)
    assert_that(decoded.error.kind, Is(TargetErrorKind.MALFORMED))


@pytest.mark.parametrize(
    ('reported', 'expected'),
    [
        ({}, False),
        ({'leaving': True}, True),
        ({'leaving': False}, False),
        ({'leaving': 'yes'}, None),
        ({'leaving': None}, None),
        ({'leaving': 1}, None),
        ({'leaving': [[]]}, None),
    ],
)
def test_a_bad_word_of_leaving_costs_no_grant(reported, expected):
    decoded = decode(ANSWER | reported)
    assert_that(decoded.ok.accepted, Is(True))
    assert_that(decoded.ok.leaving, Is(expected))


RENEWAL = RenewOrder(SERVICE, 3, 7, 900, 1400)


def test_a_renewal_is_a_list_without_spaces():
    assert_that(encode_renewal(RENEWAL), Equals(b'["catalogue",3,7,900,1400]'))


def renewed(fields, status=200):
    body = json.dumps(fields).encode()
    return decode_renewal(TargetResponse(status, (), body), RENEWAL)


@pytest.mark.parametrize(
    ('reported', 'busy', 'leaving'),
    [
        ({}, 0, False),
        ({'busy': 2, 'leaving': True}, 2, True),
        ({'leaving': 'yes'}, 0, None),
    ],
)
def test_an_accepted_renewal_leaves_out_what_the_order_said(
    reported, busy, leaving
):
    found = renewed({'clock_ms': 1000} | reported).ok
    assert_that((found.accepted, found.clock_ms), Equals((True, 1000)))
    assert_that((found.term, found.sequence), Equals((3, 7)))
    assert_that((found.busy, found.leaving), Equals((busy, leaving)))
    assert_that(found.ranges, Is(None))


@pytest.mark.parametrize(
    'reported',
    [
        {},
        [1000],
        {'clock_ms': None},
        {'clock_ms': -1},
        {'clock_ms': '1000'},
        {'clock_ms': 1000, 'busy': None},
        {'clock_ms': 1000, 'busy': -1},
    ],
)
def test_a_malformed_answer_to_a_renewal_is_typed(reported):
    assert_that(renewed(reported).error.kind, Is(TargetErrorKind.MALFORMED))


def test_a_refused_renewal_tells_what_the_target_holds():
    reported = dict(ANSWER) | {'accepted': False, 'term': 4}
    found = renewed(reported, status=409).ok
    assert_that((found.accepted, found.term), Equals((False, 4)))
    shortened = renewed({'clock_ms': 1000}, status=409)
    assert_that(shortened.error.kind, Is(TargetErrorKind.MALFORMED))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(100, 599), st.binary(max_size=200) | st.just(b'[' * 9999))
def test_no_answer_crashes_the_decoder(status, body):
    response = TargetResponse(status, (), body)
    decoded = decode_answer(response)
    assert_that(decoded.error, IsInstance(TargetError))
    decoded = decode_renewal(response, RENEWAL)
    assert_that(decoded.error, IsInstance(TargetError))
